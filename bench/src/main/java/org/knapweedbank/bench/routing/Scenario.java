package org.knapweedbank.bench.routing;

import java.time.Duration;

/**
 * What happens during a simulated run. The disturbance lasts from {@link #from()} to {@link #to()}.
 *
 * @param name name in figures
 * @param kind kind of the disturbance
 * @param load share of the capacity that the arrivals need outside of a wave
 */
record Scenario(String name, Kind kind, double load) {
    /** Kinds of disturbances. */
    enum Kind {
        NONE,
        /** One upstream takes eight times as long. */
        SLOW,
        /** One upstream breaks each connection at once. */
        FAILING,
        /** Arrivals at twice the capacity. */
        WAVE,
        /** The upstreams of one data centre leave, and return. */
        LEAVING
    }

    static final long DURATION = Duration.ofSeconds(40).toNanos();

    long from() {
        return Duration.ofSeconds(10).toNanos();
    }

    long to() {
        return Duration.ofSeconds(kind == Kind.WAVE ? 15 : 30).toNanos();
    }

    boolean disturbed(long nanos) {
        return nanos >= from() && nanos < to();
    }
}
