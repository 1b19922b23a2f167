package org.knapweedbank.agent;

import java.time.Duration;
import org.knapweedbank.time.Clock;

/**
 * Measures stalls of the event loop by the lateness of its periodic step. A request that is read
 * after a pause of the process may have waited in the socket buffer during the pause, so the stall
 * counts against its deadline. Not thread-safe.
 */
final class StallMeter {
    /** Maximum lateness of a step that is not treated as a stall. */
    private static final Duration TOLERANCE = Duration.ofMillis(250);

    private final Clock mClock;
    private long mLastTickNanos;
    private long mStallNanos;

    StallMeter(Clock clock) {
        mClock = clock;
        mLastTickNanos = clock.monotonicNanos();
    }

    /** Records the periodic step of the event loop. */
    void tick() {
        mStallNanos = latenessOfTick();
        mLastTickNanos = mClock.monotonicNanos();
    }

    /**
     * Returns the time that a request which is read now may have waited in the socket buffer, in
     * nanoseconds.
     */
    long stallNanos() {
        return Math.max(mStallNanos, latenessOfTick());
    }

    private long latenessOfTick() {
        long latenessNanos = mClock.monotonicNanos() - mLastTickNanos;
        return latenessNanos > TOLERANCE.toNanos() ? latenessNanos : 0;
    }
}
