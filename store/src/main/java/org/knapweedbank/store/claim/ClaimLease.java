package org.knapweedbank.store.claim;

import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.time.Clock;

/**
 * Store lease under which the claims of one interval are put. It is never renewed: its time to live
 * is the retention plus the interval, so that the last claim of the interval is kept long enough.
 */
final class ClaimLease {
    private static final Logger LOG = LogManager.getLogger(ClaimLease.class);

    /** The next lease is granted when this share of the interval has passed. */
    private static final double PREFETCH_SHARE = 0.9;

    private final KeyValueStore mStore;
    private final Clock mClock;
    private final Duration mTtl;
    private final long mIntervalNanos;
    private final long mRetryNanos;
    private long mLeaseId;
    private long mGrantedAt;
    private long mNextGrant;
    private boolean mGranting;
    private String mFailure;

    ClaimLease(KeyValueStore store, Clock clock, ClaimSettings settings) {
        mStore = store;
        mClock = clock;
        mTtl = settings.retention().plus(settings.leaseInterval());
        mIntervalNanos = settings.leaseInterval().toNanos();
        mRetryNanos = settings.retryDelay().toNanos();
        mNextGrant = clock.monotonicNanos();
    }

    /** The lease for new claims, or 0 when there is none. */
    synchronized long current() {
        boolean usable = mLeaseId != 0 && mClock.monotonicNanos() - mGrantedAt < mIntervalNanos;
        return usable ? mLeaseId : 0;
    }

    /** Reason of the last failure to get a lease, or null while one is being granted. */
    synchronized String failure() {
        return mFailure;
    }

    /** Drops a lease that the store does not know. */
    synchronized void drop(long leaseId) {
        if (mLeaseId == leaseId) {
            mLeaseId = 0;
            mNextGrant = mClock.monotonicNanos();
        }
    }

    void tick() {
        long now;
        synchronized (this) {
            now = mClock.monotonicNanos();
            if (mGranting || now - mNextGrant < 0) {
                return;
            }
            mGranting = true;
            if (mLeaseId == 0) {
                mFailure = null;
            }
        }
        mStore.grantLease(mTtl)
                .subscribe()
                .with(
                        result -> granted(result, now),
                        failure -> granted(new StoreResult.Unknown<>(failure.toString()), now));
    }

    private synchronized void granted(StoreResult<Long> result, long sentNanos) {
        mGranting = false;
        if (result instanceof StoreResult.Succeeded<Long>(Long leaseId)) {
            mLeaseId = leaseId;
            mGrantedAt = sentNanos;
            mNextGrant = sentNanos + (long) (mIntervalNanos * PREFETCH_SHARE);
            mFailure = null;
        } else {
            LOG.warn("[store] no lease for claims: {}", result);
            mFailure = "no lease for claims: " + result;
            mNextGrant = mClock.monotonicNanos() + mRetryNanos;
        }
    }
}
