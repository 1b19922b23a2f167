package org.knapweedbank.time;

import java.time.Instant;

/** Source of time. Leases and timeouts use monotonic time, records use wall-clock time. */
public interface Clock {
    /**
     * Returns the wall-clock time, which may jump forwards or backwards.
     *
     * @return the current wall-clock time
     */
    Instant wallTime();

    /**
     * Returns the monotonic time since an arbitrary origin.
     *
     * @return monotonic time in nanoseconds
     */
    long monotonicNanos();

    /**
     * Returns the monotonic time since the same origin as {@link #monotonicNanos()}.
     *
     * @return monotonic time in milliseconds
     */
    default long monotonicMillis() {
        return monotonicNanos() / 1_000_000;
    }
}
