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
 * Store lease of a daemon, and the registration key that the daemon keeps under it. {@link #tick()}
 * has to be called several times a second to acquire and renew the lease. The daemon treats the
 * lease as lost before it can expire in the store: the time to live counts from the sending of the
 * last successful call, less a margin for clock drift. After a loss a new lease is acquired.
 */
public final class DaemonLease {
    private static final Logger LOG = LogManager.getLogger(DaemonLease.class);

    /** Safety margin in percent of the time to live; the clocks may drift apart by 1%. */
    private static final int DRIFT_MARGIN_PERCENT = 1;

    private static final int RENEWALS_PER_TTL = 3;
    private static final long RETRY_DELAY_NANOS = Duration.ofMillis(250).toNanos();

    private final KeyValueStore mStore;
    private final Clock mClock;
    private final Duration mTtl;
    private final String mKey;
    private final DaemonLeaseListener mListener;
    private byte[] mValue;
    private long mLeaseId;
    private long mValidUntilNanos;
    private long mNextCallNanos;

    /** True if the registration key holds the current value. */
    private boolean mRegistered;

    /** True if the listener has been told that the lease is held. */
    private boolean mReportedHeld;

    private boolean mCallInFlight;
    private boolean mClosed;

    /**
     * Creates a lease that is not held yet.
     *
     * @param store the store
     * @param clock measures the validity of the lease
     * @param ttl time to live of the lease
     * @param key registration key, which is deleted when the lease ends
     * @param value value of the registration key
     * @param listener notified when the lease is acquired or lost, on the thread that calls this
     *     class or on the thread of the store
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
        mNextCallNanos = clock.monotonicNanos();
    }

    /**
     * Returns the lease if it is held and the daemon is registered under it. Callers have to ask
     * before each use, because the lease may have expired while the process was paused.
     *
     * @return identifier of the lease, or empty
     */
    public synchronized OptionalLong leaseId() {
        boolean held = mRegistered && mClock.monotonicNanos() - mValidUntilNanos < 0;
        return held ? OptionalLong.of(mLeaseId) : OptionalLong.empty();
    }

    /**
     * Replaces the value of the registration key. The next {@link #tick()} writes it.
     *
     * @param value the new value
     */
    public synchronized void updateValue(byte[] value) {
        mValue = value.clone();
        if (mLeaseId != 0) {
            mRegistered = false;
            mNextCallNanos = mClock.monotonicNanos();
        }
    }

    /**
     * Acquires or renews the lease, writes the registration, or reports the loss of the lease, as
     * needed. Has to be called several times a second.
     */
    public synchronized void tick() {
        if (mClosed) {
            return;
        }
        long nowNanos = mClock.monotonicNanos();
        if (mLeaseId != 0 && nowNanos - mValidUntilNanos >= 0) {
            markLost("it was not renewed in time");
        }
        if (mCallInFlight || nowNanos - mNextCallNanos < 0) {
            return;
        }
        if (mLeaseId == 0) {
            requestLease(nowNanos);
        } else if (!mRegistered) {
            register();
        } else {
            renew(nowNanos);
        }
    }

    /**
     * Revokes the lease, which deletes its keys immediately, and stops acquiring leases.
     *
     * @return true if the store still held the lease
     */
    public Uni<StoreResult<Boolean>> release() {
        long leaseId;
        synchronized (this) {
            mClosed = true;
            leaseId = mLeaseId;
            if (mLeaseId != 0) {
                markLost("released");
            }
        }
        return leaseId == 0
                ? Uni.createFrom().item(new StoreResult.Succeeded<>(false))
                : mStore.revoke(leaseId);
    }

    private void requestLease(long nowNanos) {
        mCallInFlight = true;
        mStore.grantLease(mTtl)
                .subscribe()
                .with(
                        result -> handleGrantResult(result, nowNanos),
                        failure -> scheduleRetry(failure.toString()));
    }

    private synchronized void handleGrantResult(StoreResult<Long> result, long sentNanos) {
        mCallInFlight = false;
        if (mClosed) {
            return;
        }
        if (result instanceof StoreResult.Succeeded<Long>(Long leaseId)) {
            mLeaseId = leaseId;
            mRegistered = false;
            extendValidity(sentNanos);
            if (mClock.monotonicNanos() - mValidUntilNanos < 0) {
                register();
            }
        } else {
            scheduleRetry("lease was not granted: " + result);
        }
    }

    private void register() {
        mCallInFlight = true;
        long leaseId = mLeaseId;
        byte[] value = mValue;
        mStore.transact(Transaction.of(new Operation.Put(mKey, value, leaseId)))
                .subscribe()
                .with(
                        result -> handleRegistrationResult(result, leaseId, value),
                        failure -> scheduleRetry(failure.toString()));
    }

    private synchronized void handleRegistrationResult(
            StoreResult<TransactionResult> result, long leaseId, byte[] value) {
        mCallInFlight = false;
        if (mClosed || leaseId != mLeaseId) {
            return;
        }
        switch (result) {
            case StoreResult.Succeeded<TransactionResult> ignored -> {
                mRegistered = value == mValue;
                reportHeld();
            }
            case StoreResult.Rejected<TransactionResult>(String reason) -> markLost(reason);
            // The write is idempotent, so it can be repeated after an unknown outcome.
            case StoreResult.Unavailable<TransactionResult>(String reason) -> scheduleRetry(reason);
            case StoreResult.Unknown<TransactionResult>(String reason) -> scheduleRetry(reason);
        }
    }

    private void reportHeld() {
        if (!mReportedHeld && mRegistered) {
            mReportedHeld = true;
            LOG.info("[store] acquired lease {} and registered {}", mLeaseId, mKey);
            mListener.leaseAcquired(mLeaseId);
        }
    }

    private void renew(long nowNanos) {
        mCallInFlight = true;
        long leaseId = mLeaseId;
        mStore.keepAlive(leaseId)
                .subscribe()
                .with(
                        result -> handleRenewalResult(result, leaseId, nowNanos),
                        failure -> scheduleRetry(failure.toString()));
    }

    private synchronized void handleRenewalResult(
            StoreResult<Boolean> result, long leaseId, long sentNanos) {
        mCallInFlight = false;
        if (mClosed || leaseId != mLeaseId) {
            return;
        }
        if (result instanceof StoreResult.Succeeded<Boolean>(Boolean held)) {
            if (held) {
                extendValidity(sentNanos);
            } else {
                markLost("it has expired in the store");
            }
        } else {
            scheduleRetry("lease was not renewed: " + result);
        }
    }

    private void extendValidity(long sentNanos) {
        long ttlNanos = mTtl.toNanos();
        mValidUntilNanos = sentNanos + ttlNanos - ttlNanos * DRIFT_MARGIN_PERCENT / 100;
        mNextCallNanos = sentNanos + ttlNanos / RENEWALS_PER_TTL;
    }

    private synchronized void scheduleRetry(String reason) {
        LOG.debug("[store] lease call failed and will be repeated: {}", reason);
        mCallInFlight = false;
        mNextCallNanos = mClock.monotonicNanos() + RETRY_DELAY_NANOS;
    }

    private void markLost(String reason) {
        long lostLeaseId = mLeaseId;
        mLeaseId = 0;
        mRegistered = false;
        mNextCallNanos = mClock.monotonicNanos();
        if (mReportedHeld) {
            mReportedHeld = false;
            LOG.warn("[store] lost lease {}: {}", lostLeaseId, reason);
            mListener.leaseLost(lostLeaseId);
        }
    }
}
