package org.knapweedbank.store.claim;

import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.time.Clock;

/**
 * Store lease shared by the claims of one interval. The lease is never renewed. Its time to live is
 * the retention time plus the interval, so that the last claim of the interval is still kept for
 * the whole retention time. A new lease is requested before the interval ends.
 */
final class ClaimLease {
    private static final Logger LOG = LogManager.getLogger(ClaimLease.class);

    /** The next lease is requested when this fraction of the interval has elapsed. */
    private static final double PREFETCH_FRACTION = 0.9;

    private final KeyValueStore mStore;
    private final Clock mClock;
    private final Duration mTtl;
    private final long mIntervalNanos;
    private final long mRetryDelayNanos;
    private long mLeaseId;
    private long mGrantSentNanos;
    private long mNextGrantNanos;
    private boolean mGrantInFlight;
    private String mFailureReason;

    ClaimLease(KeyValueStore store, Clock clock, ClaimSettings settings) {
        mStore = store;
        mClock = clock;
        mTtl = settings.retention().plus(settings.leaseRotationInterval());
        mIntervalNanos = settings.leaseRotationInterval().toNanos();
        mRetryDelayNanos = settings.retryDelay().toNanos();
        mNextGrantNanos = clock.monotonicNanos();
    }

    /** Returns the lease for new claims, or 0 if there is none. */
    synchronized long currentLeaseId() {
        boolean usable =
                mLeaseId != 0 && mClock.monotonicNanos() - mGrantSentNanos < mIntervalNanos;
        return usable ? mLeaseId : 0;
    }

    /**
     * Returns why the last request for a lease failed, or null if it has not failed or a new
     * request has been sent while there is no lease.
     */
    synchronized String failureReason() {
        return mFailureReason;
    }

    /** Stops using a lease with which the store has rejected a write, and requests a new one. */
    synchronized void invalidate(long leaseId) {
        if (mLeaseId == leaseId) {
            mLeaseId = 0;
            mNextGrantNanos = mClock.monotonicNanos();
        }
    }

    void tick() {
        long nowNanos;
        synchronized (this) {
            nowNanos = mClock.monotonicNanos();
            if (mGrantInFlight || nowNanos - mNextGrantNanos < 0) {
                return;
            }
            mGrantInFlight = true;
            if (mLeaseId == 0) {
                mFailureReason = null;
            }
        }
        mStore.grantLease(mTtl)
                .subscribe()
                .with(
                        result -> handleGrantResult(result, nowNanos),
                        failure ->
                                handleGrantResult(
                                        new StoreResult.Unknown<>(failure.toString()), nowNanos));
    }

    private synchronized void handleGrantResult(StoreResult<Long> result, long sentNanos) {
        mGrantInFlight = false;
        if (result instanceof StoreResult.Succeeded<Long>(Long leaseId)) {
            mLeaseId = leaseId;
            mGrantSentNanos = sentNanos;
            mNextGrantNanos = sentNanos + (long) (mIntervalNanos * PREFETCH_FRACTION);
            mFailureReason = null;
        } else {
            LOG.warn("[store] could not obtain a lease for claims: {}", result);
            mFailureReason = "could not obtain a lease for claims: " + result;
            mNextGrantNanos = mClock.monotonicNanos() + mRetryDelayNanos;
        }
    }
}
