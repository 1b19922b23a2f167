package org.knapweedbank.time;

import java.time.Instant;

/** Source of time. Leases and timeouts use the monotonic reading, records use wall time. */
public interface Clock {
    /**
     * Wall time; it may jump.
     *
     * @return the current wall time
     */
    Instant wallTime();

    /**
     * Monotonic time in nanoseconds from an arbitrary origin.
     *
     * @return the reading in nanoseconds
     */
    long monotonicNanos();

    /**
     * Monotonic time in milliseconds from an arbitrary origin.
     *
     * @return the reading in milliseconds
     */
    default long monotonicMillis() {
        return monotonicNanos() / 1_000_000;
    }
}
