package org.knapweedbank.agent;

import java.time.Duration;
import java.util.function.Supplier;
import org.knapweedbank.time.Clock;

/**
 * Interval of a repeated call to the worker, of which one is under way at a time. A call without a
 * result is given up after a time limit, so that a lost result does not end the repetition.
 */
final class PendingCall {
    private static final Duration LIMIT = Duration.ofSeconds(5);

    private final Clock mClock;
    private final Supplier<Duration> mInterval;
    private final Duration mRetry;
    private boolean mPending;
    private long mIssuedNanos;
    private long mDueNanos;
    private long mCount;

    PendingCall(Clock clock, Supplier<Duration> interval, Duration retry) {
        mClock = clock;
        mInterval = interval;
        mRetry = retry;
        mDueNanos = clock.monotonicNanos();
    }

    boolean due() {
        long now = mClock.monotonicNanos();
        return mPending ? now - mIssuedNanos >= LIMIT.toNanos() : now - mDueNanos >= 0;
    }

    /** Makes the call due at once. */
    void hasten() {
        mDueNanos = mClock.monotonicNanos();
    }

    /** Records that the call is issued; returns its number. */
    long issued() {
        mPending = true;
        mIssuedNanos = mClock.monotonicNanos();
        return ++mCount;
    }

    /** Records the result of a call; returns false if a later call has been issued. */
    boolean completed(long number, boolean succeeded) {
        if (number != mCount) {
            return false;
        }
        mPending = false;
        mDueNanos = mIssuedNanos + (succeeded ? mInterval.get() : mRetry).toNanos();
        return true;
    }

    long issuedNanos() {
        return mIssuedNanos;
    }
}
