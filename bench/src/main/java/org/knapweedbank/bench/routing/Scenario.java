package org.knapweedbank.bench.routing;

import java.time.Duration;

/**
 * A simulated load with one disturbance, which lasts from {@link #disturbanceStartNanos()} to
 * {@link #disturbanceEndNanos()}.
 *
 * @param name name in the figures
 * @param kind kind of the disturbance
 * @param load share of the capacity that the arrivals need, except during an overload
 */
record Scenario(String name, Kind kind, double load) {
    /** Kinds of disturbances. */
    enum Kind {
        NONE,
        /** One upstream takes eight times as long. */
        SLOW,
        /** One upstream closes every connection without an answer. */
        FAILING,
        /** Requests arrive at twice the capacity; {@code wave} in the figures. */
        OVERLOAD,
        /** The upstreams of one data centre take no new requests for a while. */
        LEAVING
    }

    /** Time during which requests arrive. */
    static final long DURATION_NANOS = Duration.ofSeconds(40).toNanos();

    /** Returns the virtual time at which the disturbance starts. */
    long disturbanceStartNanos() {
        return Duration.ofSeconds(10).toNanos();
    }

    /** Returns the virtual time at which the disturbance ends. */
    long disturbanceEndNanos() {
        return Duration.ofSeconds(kind == Kind.OVERLOAD ? 15 : 30).toNanos();
    }

    /** Returns whether the disturbance is active at the given virtual time. */
    boolean isDisturbedAt(long nanos) {
        return nanos >= disturbanceStartNanos() && nanos < disturbanceEndNanos();
    }
}
