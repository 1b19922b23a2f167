package org.knapweedbank.jobs.owner;

/**
 * Limits the starts on a suspected VM: one in the first interval, then twice as many in each
 * interval, until one fails. Times are monotonic, in milliseconds.
 */
final class TrialLimiter {
    private final long mIntervalMillis;
    private int mNextCount = 1;
    private int mLeft;
    private long mNextIntervalAt = Long.MIN_VALUE;

    TrialLimiter(long intervalMillis) {
        mIntervalMillis = intervalMillis;
    }

    boolean allows(long now) {
        return mLeft > 0 || now >= mNextIntervalAt;
    }

    void recordStart(long now) {
        if (now >= mNextIntervalAt) {
            mLeft = mNextCount;
            mNextCount = 2 * mNextCount;
            mNextIntervalAt = now + mIntervalMillis;
        }
        mLeft--;
    }

    /** Allows one start in the next interval again, after a failure. */
    void restart() {
        mNextCount = 1;
        mLeft = 0;
    }
}
