package org.knapweedbank.agent;

import java.time.Duration;
import org.knapweedbank.time.Clock;

/**
 * Tracks the validity of the control session by the agent's monotonic clock. The time to live
 * starts when the last acknowledged message was sent, and is shortened by 1%, the assumed drift
 * between two clocks, so that the session ends at the agent before the owner assumes that it has
 * ended. Not thread-safe.
 */
final class SessionTimer {
    private static final long CLOCK_DRIFT_DIVISOR = 100;

    /**
     * Time to live of the task leases before the first session, equal to that of the default
     * settings.
     */
    private static final Duration DEFAULT_LEASE_TTL = Duration.ofSeconds(30);

    private final Clock mClock;
    private long mTtlNanos;
    private long mValidUntilNanos;
    private boolean mGranted;
    private Duration mLeaseTtl = DEFAULT_LEASE_TTL;

    SessionTimer(Clock clock) {
        mClock = clock;
    }

    /**
     * Records that a session was granted in reply to a message sent at the given monotonic time.
     */
    void recordGrant(long sentNanos, Duration ttl) {
        mLeaseTtl = ttl;
        mTtlNanos = ttl.toNanos() - ttl.toNanos() / CLOCK_DRIFT_DIVISOR;
        if (!mGranted) {
            mGranted = true;
            mValidUntilNanos = sentNanos + mTtlNanos;
        }
        recordAcknowledgement(sentNanos);
    }

    /**
     * Records the acknowledgement of a heartbeat sent at the given monotonic time. An
     * acknowledgement of an earlier heartbeat than the last acknowledged one has no effect.
     */
    void recordAcknowledgement(long sentNanos) {
        long until = sentNanos + mTtlNanos;
        if (until - mValidUntilNanos > 0) {
            mValidUntilNanos = until;
        }
    }

    /**
     * Returns the time to live of the task leases at the worker. It equals that of the session,
     * because the owner relies on the expiry of both before it places the tasks of an unreachable
     * VM elsewhere.
     */
    Duration leaseTtl() {
        return mLeaseTtl;
    }

    boolean wasGranted() {
        return mGranted;
    }

    boolean isValid() {
        return isValidFor(Duration.ZERO);
    }

    /**
     * Returns true if the session is valid now and will still be valid after the given time without
     * a further acknowledgement.
     */
    boolean isValidFor(Duration time) {
        return mGranted && mValidUntilNanos - mClock.monotonicNanos() - time.toNanos() > 0;
    }
}
