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
 * Carries out one guarded write at a time until it is committed or fenced. A write with an unknown
 * outcome is resolved by reading its key; a write that had no effect is repeated after a delay.
 * Calls are synchronized by the caller's lock; outcomes are reported outside it.
 */
final class GuardedWriter {
    private static final Logger LOG = LogManager.getLogger(GuardedWriter.class);
    private static final int MAX_DELAY_FACTOR = 16;

    private final KeyValueStore mStore;
    private final Clock mClock;
    private final Duration mRetryDelay;
    private final Outcome mOutcome;
    private JournalWrite mWrite;
    private boolean mCalling;
    private boolean mResolving;
    private long mNextAttempt;
    private int mDelayFactor = 1;

    /** Told the end of a write. */
    interface Outcome {
        void ended(boolean committed);
    }

    GuardedWriter(KeyValueStore store, Clock clock, Duration retryDelay, Outcome outcome) {
        mStore = store;
        mClock = clock;
        mRetryDelay = retryDelay;
        mOutcome = outcome;
    }

    synchronized boolean idle() {
        return mWrite == null;
    }

    /** Begins a write. The outcome may be reported before this returns. */
    void begin(JournalWrite write) {
        synchronized (this) {
            mWrite = write;
            mResolving = false;
            mNextAttempt = mClock.monotonicNanos();
            mDelayFactor = 1;
        }
        tick();
    }

    /** Sends the next call of the write if one is due. */
    void tick() {
        JournalWrite write;
        boolean resolving;
        synchronized (this) {
            boolean due = mClock.monotonicNanos() - mNextAttempt >= 0;
            if (mWrite == null || mCalling || !due) {
                return;
            }
            mCalling = true;
            write = mWrite;
            resolving = mResolving;
        }
        if (resolving) {
            resolve(write);
        } else {
            send(write);
        }
    }

    /** Forgets the write; its outcome is not reported. */
    synchronized void abandon() {
        mWrite = null;
    }

    private void send(JournalWrite write) {
        mStore.transact(write.transaction())
                .subscribe()
                .with(
                        result -> sent(write, result),
                        failure -> retry(write, true, failure.toString()));
    }

    private void sent(JournalWrite write, StoreResult<TransactionResult> result) {
        switch (result) {
            case StoreResult.Succeeded<TransactionResult>(TransactionResult done) -> {
                if (done.compared() || isPresent(write, done.read(1))) {
                    end(write, true);
                } else {
                    end(write, false);
                }
            }
            case StoreResult.Rejected<TransactionResult>(String reason) ->
                    retry(write, false, reason);
            case StoreResult.Unavailable<TransactionResult>(String reason) ->
                    retry(write, false, reason);
            case StoreResult.Unknown<TransactionResult>(String reason) -> {
                LOG.warn("[store] outcome of {} is unknown: {}", write.key(), reason);
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
                        result -> resolved(write, result),
                        failure -> retry(write, true, failure.toString()));
    }

    private void resolved(JournalWrite write, StoreResult<KeyRange> result) {
        if (result instanceof StoreResult.Succeeded<KeyRange>(KeyRange range)) {
            if (isPresent(write, range.first())) {
                end(write, true);
            } else {
                synchronized (this) {
                    mCalling = false;
                    mResolving = false;
                }
                tick();
            }
        } else {
            retry(write, true, "read back: " + result);
        }
    }

    private static boolean isPresent(JournalWrite write, Optional<KeyEntry> entry) {
        return entry.filter(e -> Arrays.equals(e.value(), write.value())).isPresent();
    }

    private synchronized void retry(JournalWrite write, boolean resolving, String reason) {
        Duration delay = mRetryDelay.multipliedBy(mDelayFactor);
        LOG.warn("[store] {} not written, next attempt in {}: {}", write.key(), delay, reason);
        mCalling = false;
        mResolving = resolving;
        mNextAttempt = mClock.monotonicNanos() + delay.toNanos();
        mDelayFactor = Math.min(MAX_DELAY_FACTOR, mDelayFactor * 2);
    }

    private void end(JournalWrite write, boolean committed) {
        synchronized (this) {
            mCalling = false;
            if (mWrite != write) {
                return;
            }
        }
        // The writer counts as busy until the outcome has been taken.
        mOutcome.ended(committed);
        synchronized (this) {
            mWrite = mWrite == write ? null : mWrite;
        }
    }
}
