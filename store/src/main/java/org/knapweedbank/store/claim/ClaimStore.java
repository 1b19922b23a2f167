package org.knapweedbank.store.claim;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedList;
import java.util.List;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.Transaction;
import org.knapweedbank.store.TransactionResult;
import org.knapweedbank.time.Clock;

/**
 * Claims of idempotency keys. Claims and releases that arrive within the window after a write share
 * the next one, in which each is a nested transaction of its own; the first claim after an idle
 * time is written at once. {@link #tick()} drives it and has to be called every few milliseconds;
 * results are given on the thread of that call or on the store's. Thread-safe.
 *
 * <p>Writes of several entries are not shared, so the window of each entry is multiplied by the
 * number of entries: all entries together make at most 50 writes a second with a window of 20 ms.
 * The benchmark {@code journal.load} measures 195 writes a second in total with 8 entries; with
 * windows that do not grow it measures 383, more than the service's limits allow.
 */
public final class ClaimStore implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ClaimStore.class);

    private final KeyValueStore mStore;
    private final Clock mClock;
    private final ClaimSettings mSettings;
    private final ClaimLease mLease;
    private final LinkedList<PendingChange> mWaiting = new LinkedList<>();
    private final Set<String> mBusyKeys = new HashSet<>();
    private long mIntervalNanos;
    private long mNextWrite;
    private int mWritesInFlight;
    private boolean mClosed;

    /**
     * Creates the claim store of one entry.
     *
     * @param store the store
     * @param clock measures windows and leases
     * @param settings limits
     */
    public ClaimStore(KeyValueStore store, Clock clock, ClaimSettings settings) {
        mStore = store;
        mClock = clock;
        mSettings = settings;
        mLease = new ClaimLease(store, clock, settings);
        mIntervalNanos = settings.window().toNanos();
        mNextWrite = clock.monotonicNanos();
    }

    /**
     * Sets the number of entries that make claims, which bounds the writes of all of them together.
     *
     * @param entries number of registered entries; less than 1 counts as 1
     */
    public synchronized void shareWith(int entries) {
        mIntervalNanos = mSettings.window().toNanos() * Math.max(1, entries);
    }

    /**
     * Claims a key for an attempt. The claim is made when the result is subscribed to.
     *
     * @param request the key and the attempt
     * @return the result; it arrives after one write, which may wait for the window, or after more
     *     writes if one fails
     */
    public Uni<ClaimResult> claim(ClaimRequest request) {
        return Uni.createFrom()
                .emitter(
                        emitter -> {
                            Claim claim =
                                    new Claim(
                                            ClaimRecord.key(
                                                    request.service(), request.idempotencyKey()),
                                            request.attemptId(),
                                            request.agent(),
                                            mClock.wallTime().toEpochMilli());
                            add(
                                    new PendingChange.Claiming(
                                            claim, mClock.monotonicNanos(), emitter::complete));
                        });
    }

    /**
     * Releases a claim after it has been proven that its attempt did not run and will not run. It
     * is repeated for a limited time if the store does not answer.
     *
     * @param claim a claim that was granted, or whose outcome is unknown
     * @return the result
     */
    public Uni<ReleaseResult> release(Claim claim) {
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                add(
                                        new PendingChange.Releasing(
                                                claim,
                                                mClock.monotonicNanos(),
                                                emitter::complete)));
    }

    /** Sends the writes that are due. To be called every few milliseconds. */
    public void tick() {
        mLease.tick();
        // The lease is looked up for each write, as a refused write may have dropped it.
        long lease = mLease.current();
        while (lease != 0) {
            List<PendingChange> batch = takeBatch();
            if (batch.isEmpty()) {
                return;
            }
            write(batch, lease);
            lease = mLease.current();
        }
        failWithoutLease();
    }

    /** Ends all waiting claims as unavailable and all waiting releases as failed. */
    @Override
    public void close() {
        List<PendingChange> waiting;
        synchronized (this) {
            mClosed = true;
            waiting = List.copyOf(mWaiting);
            mWaiting.clear();
        }
        waiting.forEach(change -> change.failure("the claim store is closed").run());
    }

    private void add(PendingChange change) {
        String refusal = null;
        synchronized (this) {
            if (mClosed) {
                refusal = "the claim store is closed";
            } else if (mWaiting.size() >= mSettings.maxWaiting()) {
                refusal = "too many claims are waiting";
            } else {
                mWaiting.add(change);
            }
        }
        if (refusal != null) {
            change.failure(refusal).run();
        }
    }

    private void failWithoutLease() {
        String reason = mLease.failure();
        if (reason == null) {
            return;
        }
        List<Runnable> reports = new ArrayList<>();
        synchronized (this) {
            Iterator<PendingChange> waiting = mWaiting.iterator();
            while (waiting.hasNext()) {
                PendingChange change = waiting.next();
                if (change instanceof PendingChange.Claiming || isOverdue(change)) {
                    waiting.remove();
                    reports.add(change.failure(reason));
                }
            }
        }
        reports.forEach(Runnable::run);
    }

    /**
     * Takes the changes of one write if the window after the last one has passed or the write is
     * full. A key occurs once in a write and is in one write at a time, as the service refuses a
     * transaction that writes a key twice.
     */
    private synchronized List<PendingChange> takeBatch() {
        if (mWritesInFlight >= mSettings.maxWritesInFlight()) {
            return List.of();
        }
        long now = mClock.monotonicNanos();
        Set<String> keys = new HashSet<>();
        List<PendingChange> batch = new ArrayList<>();
        for (PendingChange change : mWaiting) {
            boolean ready = now - change.notBefore() >= 0 && !mBusyKeys.contains(change.key());
            if (ready && batch.size() < mSettings.maxPerWrite() && keys.add(change.key())) {
                batch.add(change);
            }
        }
        boolean full = batch.size() == mSettings.maxPerWrite();
        boolean repeat = batch.stream().anyMatch(PendingChange::repeated);
        boolean due = !batch.isEmpty() && now - mNextWrite >= 0;
        if (!full && !due && !repeat) {
            return List.of();
        }
        mNextWrite = now + mIntervalNanos;
        mWaiting.removeAll(new HashSet<>(batch));
        mBusyKeys.addAll(keys);
        mWritesInFlight++;
        return batch;
    }

    private void write(List<PendingChange> batch, long lease) {
        Operation[] operations =
                batch.stream()
                        .map(change -> new Operation.Nested(change.transaction(lease)))
                        .toArray(Operation[]::new);
        mStore.transact(Transaction.of(operations))
                .subscribe()
                .with(
                        result -> written(batch, lease, result),
                        failure -> unknown(batch, failure.toString()));
    }

    private void written(
            List<PendingChange> batch, long lease, StoreResult<TransactionResult> result) {
        switch (result) {
            case StoreResult.Succeeded<TransactionResult>(TransactionResult done) -> {
                List<PendingChange.Next> next = new ArrayList<>();
                for (int i = 0; i < batch.size(); i++) {
                    next.add(batch.get(i).answered(done.nested(i)));
                }
                finish(batch, next, "the key changed too often");
            }
            case StoreResult.Rejected<TransactionResult>(String reason) -> {
                LOG.warn("[store] claims refused: {}", reason);
                mLease.drop(lease);
                finish(batch, repeatAll(batch), reason);
            }
            case StoreResult.Unavailable<TransactionResult>(String reason) -> failed(batch, reason);
            case StoreResult.Unknown<TransactionResult>(String reason) -> unknown(batch, reason);
        }
    }

    private void unknown(List<PendingChange> batch, String reason) {
        LOG.warn("[store] outcome of {} claims is unknown: {}", batch.size(), reason);
        batch.forEach(PendingChange::setMayArriveLate);
        String[] keys = batch.stream().map(PendingChange::key).toArray(String[]::new);
        mStore.transact(Transaction.read(keys))
                .subscribe()
                .with(
                        result -> readBack(batch, result),
                        failure -> failed(batch, failure.toString()));
    }

    private void readBack(List<PendingChange> batch, StoreResult<TransactionResult> result) {
        if (result instanceof StoreResult.Succeeded<TransactionResult>(TransactionResult read)) {
            List<PendingChange.Next> next = new ArrayList<>();
            for (int i = 0; i < batch.size(); i++) {
                next.add(batch.get(i).readBack(read.read(i)));
            }
            finish(batch, next, "the write did not arrive");
        } else {
            failed(batch, "read back: " + result);
        }
    }

    /** Reports the changes that are done and queues the others again, in their old order. */
    private void finish(
            List<PendingChange> batch, List<PendingChange.Next> next, String repeatReason) {
        List<Runnable> reports = new ArrayList<>();
        synchronized (this) {
            release(batch);
            for (int i = batch.size() - 1; i >= 0; i--) {
                PendingChange change = batch.get(i);
                if (next.get(i) == PendingChange.Next.DONE) {
                    reports.add(change.report());
                } else if (change.mayRepeat() && !mClosed) {
                    mWaiting.addFirst(change);
                } else {
                    reports.add(change.failure(repeatReason));
                }
            }
        }
        reports.reversed().forEach(Runnable::run);
    }

    /** Claims end here; releases are repeated after a delay until their time limit. */
    private void failed(List<PendingChange> batch, String reason) {
        List<Runnable> reports = new ArrayList<>();
        synchronized (this) {
            release(batch);
            for (PendingChange change : batch) {
                boolean giveUp = change instanceof PendingChange.Claiming || isOverdue(change);
                if (giveUp || mClosed) {
                    reports.add(change.failure(reason));
                } else {
                    change.notBefore(mClock.monotonicNanos() + mSettings.retryDelay().toNanos());
                    mWaiting.add(change);
                }
            }
        }
        reports.forEach(Runnable::run);
    }

    private void release(List<PendingChange> batch) {
        mWritesInFlight--;
        batch.forEach(change -> mBusyKeys.remove(change.key()));
    }

    private boolean isOverdue(PendingChange change) {
        long age = mClock.monotonicNanos() - change.sinceNanos();
        return age >= mSettings.releaseLimit().toNanos();
    }

    private static List<PendingChange.Next> repeatAll(List<PendingChange> batch) {
        return batch.stream().map(ignored -> PendingChange.Next.REPEAT).toList();
    }
}
