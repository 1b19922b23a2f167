package org.knapweedbank.store.lease;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.OptionalLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.Transaction;
import org.knapweedbank.store.TransactionResult;
import org.knapweedbank.time.Clock;

/**
 * Store lease of a daemon with a key registered under it. {@link #tick()} drives it. The lease
 * counts as lost before the store can assume so: its time runs from the moment at which the last
 * successful call was sent, less a margin for clock drift. After a loss a new lease is acquired.
 */
public final class DaemonLease {
    private static final Logger LOG = LogManager.getLogger(DaemonLease.class);

    /** Clocks may drift apart by 1%. */
    private static final int DRIFT_MARGIN_PERCENT = 1;

    private static final int RENEWALS_PER_TTL = 3;
    private static final long RETRY_NANOS = Duration.ofMillis(250).toNanos();

    private final KeyValueStore mStore;
    private final Clock mClock;
    private final Duration mTtl;
    private final String mKey;
    private final DaemonLeaseListener mListener;
    private byte[] mValue;
    private long mLeaseId;
    private long mValidUntil;
    private long mNextCall;
    private boolean mRegistered;
    private boolean mAnnounced;
    private boolean mCalling;
    private boolean mClosed;

    /**
     * Creates a lease that is not held yet.
     *
     * @param store the store
     * @param clock measures the lease
     * @param ttl time to live of the lease
     * @param key key registered under the lease
     * @param value value of the key
     * @param listener told about gain and loss, on the thread of the call or of the store
     */
    public DaemonLease(
            KeyValueStore store,
            Clock clock,
            Duration ttl,
            String key,
            byte[] value,
            DaemonLeaseListener listener) {
        mStore = store;
        mClock = clock;
        mTtl = ttl;
        mKey = key;
        mValue = value.clone();
        mListener = listener;
        mNextCall = clock.monotonicNanos();
    }

    /**
     * The lease if it is held now. Each use of the lease asks again, since a pause of the process
     * may have outlasted it.
     *
     * @return the lease id, or empty
     */
    public synchronized OptionalLong leaseId() {
        boolean held = mRegistered && mClock.monotonicNanos() - mValidUntil < 0;
        return held ? OptionalLong.of(mLeaseId) : OptionalLong.empty();
    }

    /**
     * Replaces the registered value at the next {@link #tick()}.
     *
     * @param value the new value
     */
    public synchronized void update(byte[] value) {
        mValue = value.clone();
        if (mLeaseId != 0) {
            mRegistered = false;
            mNextCall = mClock.monotonicNanos();
        }
    }

    /** Acquires, renews or gives up the lease as needed. To be called several times a second. */
    public synchronized void tick() {
        if (mClosed) {
            return;
        }
        long now = mClock.monotonicNanos();
        if (mLeaseId != 0 && now - mValidUntil >= 0) {
            lose("it could not be renewed in time");
        }
        if (mCalling || now - mNextCall < 0) {
            return;
        }
        if (mLeaseId == 0) {
            grant(now);
        } else if (!mRegistered) {
            register();
        } else {
            renew(now);
        }
    }

    /**
     * Gives up the lease, so that its keys are deleted at once.
     *
     * @return true if the lease was held by the store
     */
    public Uni<StoreResult<Boolean>> release() {
        long leaseId;
        synchronized (this) {
            mClosed = true;
            leaseId = mLeaseId;
            if (mLeaseId != 0) {
                lose("released");
            }
        }
        return leaseId == 0
                ? Uni.createFrom().item(new StoreResult.Succeeded<>(false))
                : mStore.revoke(leaseId);
    }

    private void grant(long now) {
        mCalling = true;
        mStore.grantLease(mTtl)
                .subscribe()
                .with(result -> granted(result, now), failure -> failed(failure.toString()));
    }

    private synchronized void granted(StoreResult<Long> result, long sentNanos) {
        mCalling = false;
        if (mClosed) {
            return;
        }
        if (result instanceof StoreResult.Succeeded<Long>(Long leaseId)) {
            mLeaseId = leaseId;
            mRegistered = false;
            extend(sentNanos);
            if (mClock.monotonicNanos() - mValidUntil < 0) {
                register();
            }
        } else {
            failed("grant: " + result);
        }
    }

    private void register() {
        mCalling = true;
        long leaseId = mLeaseId;
        byte[] value = mValue;
        mStore.transact(Transaction.of(new Operation.Put(mKey, value, leaseId)))
                .subscribe()
                .with(
                        result -> registered(result, leaseId, value),
                        failure -> failed(failure.toString()));
    }

    private synchronized void registered(
            StoreResult<TransactionResult> result, long leaseId, byte[] value) {
        mCalling = false;
        if (mClosed || leaseId != mLeaseId) {
            return;
        }
        switch (result) {
            case StoreResult.Succeeded<TransactionResult> ignored -> {
                mRegistered = value == mValue;
                announce();
            }
            case StoreResult.Rejected<TransactionResult>(String reason) -> lose(reason);
            // The put is repeated: it has the same effect however often it is applied.
            case StoreResult.Unavailable<TransactionResult>(String reason) -> failed(reason);
            case StoreResult.Unknown<TransactionResult>(String reason) -> failed(reason);
        }
    }

    private void announce() {
        if (!mAnnounced && mRegistered) {
            mAnnounced = true;
            LOG.info("[store] lease {} held, {} registered", mLeaseId, mKey);
            mListener.held(mLeaseId);
        }
    }

    private void renew(long now) {
        mCalling = true;
        long leaseId = mLeaseId;
        mStore.keepAlive(leaseId)
                .subscribe()
                .with(
                        result -> renewed(result, leaseId, now),
                        failure -> failed(failure.toString()));
    }

    private synchronized void renewed(StoreResult<Boolean> result, long leaseId, long sentNanos) {
        mCalling = false;
        if (mClosed || leaseId != mLeaseId) {
            return;
        }
        if (result instanceof StoreResult.Succeeded<Boolean>(Boolean held)) {
            if (held) {
                extend(sentNanos);
            } else {
                lose("it has expired");
            }
        } else {
            failed("renewal: " + result);
        }
    }

    private void extend(long sentNanos) {
        long ttl = mTtl.toNanos();
        mValidUntil = sentNanos + ttl - ttl * DRIFT_MARGIN_PERCENT / 100;
        mNextCall = sentNanos + ttl / RENEWALS_PER_TTL;
    }

    private synchronized void failed(String reason) {
        LOG.debug("[store] lease call failed: {}", reason);
        mCalling = false;
        mNextCall = mClock.monotonicNanos() + RETRY_NANOS;
    }

    private void lose(String reason) {
        long lost = mLeaseId;
        mLeaseId = 0;
        mRegistered = false;
        mNextCall = mClock.monotonicNanos();
        if (mAnnounced) {
            mAnnounced = false;
            LOG.warn("[store] lease {} lost: {}", lost, reason);
            mListener.lost(lost);
        }
    }
}
