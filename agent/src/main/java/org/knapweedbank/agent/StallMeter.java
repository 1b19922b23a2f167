package org.knapweedbank.agent;

import java.time.Duration;
import org.knapweedbank.time.Clock;

/**
 * Measures how long the event loop stood still, from the lateness of its periodic step. A request
 * read after a pause of the process may have waited in the socket for that time, which counts
 * against its deadline. Not thread-safe.
 */
final class StallMeter {
    /** Lateness that is not taken for a pause. */
    private static final Duration TOLERANCE = Duration.ofMillis(250);

    private final Clock mClock;
    private long mLastTickNanos;
    private long mStallNanos;

    StallMeter(Clock clock) {
        mClock = clock;
        mLastTickNanos = clock.monotonicNanos();
    }

    void tick() {
        mStallNanos = sinceTick();
        mLastTickNanos = mClock.monotonicNanos();
    }

    /** Time for which a request that is read now may have waited, in nanoseconds. */
    long nanos() {
        return Math.max(mStallNanos, sinceTick());
    }

    private long sinceTick() {
        long nanos = mClock.monotonicNanos() - mLastTickNanos;
        return nanos > TOLERANCE.toNanos() ? nanos : 0;
    }
}
