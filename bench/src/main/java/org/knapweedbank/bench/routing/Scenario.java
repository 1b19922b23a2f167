package org.knapweedbank.bench.routing;

import java.time.Duration;

/**
 * What happens during a simulated run. The disturbance lasts from {@link #disturbanceStartNanos()}
 * to {@link #disturbanceEndNanos()}.
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
        OVERLOAD,
        /** The upstreams of one data centre leave, and return. */
        LEAVING
    }

    static final long DURATION_NANOS = Duration.ofSeconds(40).toNanos();

    long disturbanceStartNanos() {
        return Duration.ofSeconds(10).toNanos();
    }

    long disturbanceEndNanos() {
        return Duration.ofSeconds(kind == Kind.OVERLOAD ? 15 : 30).toNanos();
    }

    boolean isDisturbedAt(long nanos) {
        return nanos >= disturbanceStartNanos() && nanos < disturbanceEndNanos();
    }
}
