package org.knapweedbank.agent;

import java.time.Duration;
import org.knapweedbank.time.Clock;

/**
 * Validity of the control session by the agent's monotonic clock. It is counted from the sending of
 * the last acknowledged message and shortened by 1%, the assumed drift between two clocks, so that
 * it ends before the owner may assume its end. Not thread-safe.
 */
final class SessionTimer {
    private static final long DRIFT_DIVISOR = 100;

    /** Time to live of a lease before the first session; that of the default settings. */
    private static final Duration DEFAULT_TTL = Duration.ofSeconds(30);

    private final Clock mClock;
    private long mTtlNanos;
    private long mValidUntilNanos;
    private boolean mGranted;
    private Duration mLeaseTtl = DEFAULT_TTL;

    SessionTimer(Clock clock) {
        mClock = clock;
    }

    /** A session was granted in reply to a message sent at the given time. */
    void granted(long sentNanos, Duration ttl) {
        mLeaseTtl = ttl;
        mTtlNanos = ttl.toNanos() - ttl.toNanos() / DRIFT_DIVISOR;
        if (!mGranted) {
            mGranted = true;
            mValidUntilNanos = sentNanos + mTtlNanos;
        }
        acknowledged(sentNanos);
    }

    /** A heartbeat sent at the given time was acknowledged; a late one changes nothing. */
    void acknowledged(long sentNanos) {
        long until = sentNanos + mTtlNanos;
        if (until - mValidUntilNanos > 0) {
            mValidUntilNanos = until;
        }
    }

    /**
     * Time to live of the task leases at the worker. It is that of the session, as the owner counts
     * on both when it places the tasks of an unreachable VM elsewhere.
     */
    Duration leaseTtl() {
        return mLeaseTtl;
    }

    boolean everGranted() {
        return mGranted;
    }

    boolean valid() {
        return validFor(Duration.ZERO);
    }

    /** True if the session is valid now and after the given time. */
    boolean validFor(Duration time) {
        return mGranted && mValidUntilNanos - mClock.monotonicNanos() - time.toNanos() > 0;
    }
}
