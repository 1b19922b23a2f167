package org.knapweedbank.store.journal;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.TransactionResult;
import org.knapweedbank.time.Clock;

/**
 * Carries out one guarded write at a time until it is committed or fenced. An unknown outcome is
 * resolved by reading the key of the write; a write that had no effect is repeated after a delay.
 * Methods may be called from any thread. The listener is called without holding the lock of the
 * writer.
 */
final class GuardedWriter {
    private static final Logger LOG = LogManager.getLogger(GuardedWriter.class);

    /** Limit of the exponential backoff, as a multiple of the first retry delay. */
    private static final int MAX_DELAY_FACTOR = 16;

    private final KeyValueStore mStore;
    private final Clock mClock;
    private final Duration mRetryDelay;
    private final OutcomeListener mListener;
    private JournalWrite mWrite;
    private boolean mCallInFlight;

    /** True if the next call reads the key of the write to resolve an unknown outcome. */
    private boolean mResolving;

    private long mNextAttemptNanos;
    private int mDelayFactor = 1;

    /** Receives the outcome of each write. */
    interface OutcomeListener {
        void writeEnded(boolean committed);
    }

    GuardedWriter(KeyValueStore store, Clock clock, Duration retryDelay, OutcomeListener listener) {
        mStore = store;
        mClock = clock;
        mRetryDelay = retryDelay;
        mListener = listener;
    }

    synchronized boolean isIdle() {
        return mWrite == null;
    }

    /** Starts a write. The outcome may be reported before this method returns. */
    void start(JournalWrite write) {
        synchronized (this) {
            mWrite = write;
            mResolving = false;
            mNextAttemptNanos = mClock.monotonicNanos();
            mDelayFactor = 1;
        }
        tick();
    }

    /** Sends or resolves the current write if an attempt is due. */
    void tick() {
        JournalWrite write;
        boolean resolving;
        synchronized (this) {
            boolean due = mClock.monotonicNanos() - mNextAttemptNanos >= 0;
            if (mWrite == null || mCallInFlight || !due) {
                return;
            }
            mCallInFlight = true;
            write = mWrite;
            resolving = mResolving;
        }
        if (resolving) {
            resolve(write);
        } else {
            send(write);
        }
    }

    /** Drops the current write, whose outcome is then not reported. */
    synchronized void abandon() {
        mWrite = null;
    }

    private void send(JournalWrite write) {
        mStore.transact(write.transaction())
                .subscribe()
                .with(
                        result -> handleWriteResult(write, result),
                        failure -> scheduleRetry(write, true, failure.toString()));
    }

    private void handleWriteResult(JournalWrite write, StoreResult<TransactionResult> result) {
        switch (result) {
            case StoreResult.Succeeded<TransactionResult>(TransactionResult response) -> {
                if (response.conditionsHeld() || hasTakenEffect(write, response.read(1))) {
                    finish(write, true);
                } else {
                    finish(write, false);
                }
            }
            case StoreResult.Rejected<TransactionResult>(String reason) ->
                    scheduleRetry(write, false, reason);
            case StoreResult.Unavailable<TransactionResult>(String reason) ->
                    scheduleRetry(write, false, reason);
            case StoreResult.Unknown<TransactionResult>(String reason) -> {
                LOG.warn(
                        "[store] outcome of the write of {} is unknown; reading the key back: {}",
                        write.key(),
                        reason);
                synchronized (this) {
                    mResolving = true;
                }
                resolve(write);
            }
        }
    }

    private void resolve(JournalWrite write) {
        mStore.get(write.key())
                .subscribe()
                .with(
                        result -> handleReadBack(write, result),
                        failure -> scheduleRetry(write, true, failure.toString()));
    }

    private void handleReadBack(JournalWrite write, StoreResult<KeyRange> result) {
        if (result instanceof StoreResult.Succeeded<KeyRange>(KeyRange range)) {
            if (hasTakenEffect(write, range.first())) {
                finish(write, true);
            } else {
                synchronized (this) {
                    mCallInFlight = false;
                    mResolving = false;
                }
                tick();
            }
        } else {
            scheduleRetry(write, true, "could not read the key back: " + result);
        }
    }

    private static boolean hasTakenEffect(JournalWrite write, Optional<KeyEntry> entry) {
        return entry.filter(found -> Arrays.equals(found.value(), write.value())).isPresent();
    }

    private synchronized void scheduleRetry(JournalWrite write, boolean resolving, String reason) {
        Duration delay = mRetryDelay.multipliedBy(mDelayFactor);
        LOG.warn("[store] could not write {}; trying again in {}: {}", write.key(), delay, reason);
        mCallInFlight = false;
        mResolving = resolving;
        mNextAttemptNanos = mClock.monotonicNanos() + delay.toNanos();
        mDelayFactor = Math.min(MAX_DELAY_FACTOR, mDelayFactor * 2);
    }

    private void finish(JournalWrite write, boolean committed) {
        synchronized (this) {
            mCallInFlight = false;
            if (mWrite != write) {
                return;
            }
        }
        // The writer stays busy until the listener has handled the outcome.
        mListener.writeEnded(committed);
        synchronized (this) {
            mWrite = mWrite == write ? null : mWrite;
        }
    }
}
