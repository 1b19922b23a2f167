package org.knapweedbank.agent;

import java.time.Duration;
import java.util.function.Supplier;
import org.knapweedbank.time.Clock;

/**
 * Schedule of a call to the worker that is repeated at an interval, with at most one call in
 * flight. A call without a result times out, so that a lost result does not end the repetition. Not
 * thread-safe.
 */
final class PeriodicCall {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

    private final Clock mClock;
    private final Supplier<Duration> mInterval;
    private final Duration mRetryDelay;
    private boolean mInFlight;
    private long mIssuedNanos;
    private long mDueNanos;
    private long mLastNumber;

    PeriodicCall(Clock clock, Supplier<Duration> interval, Duration retryDelay) {
        mClock = clock;
        mInterval = interval;
        mRetryDelay = retryDelay;
        mDueNanos = clock.monotonicNanos();
    }

    boolean isDue() {
        long now = mClock.monotonicNanos();
        return mInFlight ? now - mIssuedNanos >= CALL_TIMEOUT.toNanos() : now - mDueNanos >= 0;
    }

    /** Makes the call due immediately, unless one is in flight. */
    void makeDueNow() {
        mDueNanos = mClock.monotonicNanos();
    }

    /** Records that a call is issued, and returns the number of the call. */
    long recordIssue() {
        mInFlight = true;
        mIssuedNanos = mClock.monotonicNanos();
        return ++mLastNumber;
    }

    /**
     * Records the result of a call and schedules the next one. Returns false, with no effect, if a
     * later call has been issued meanwhile.
     */
    boolean recordResult(long number, boolean succeeded) {
        if (number != mLastNumber) {
            return false;
        }
        mInFlight = false;
        mDueNanos = mIssuedNanos + (succeeded ? mInterval.get() : mRetryDelay).toNanos();
        return true;
    }

    long issuedNanos() {
        return mIssuedNanos;
    }
}
