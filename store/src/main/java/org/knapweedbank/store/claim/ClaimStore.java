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
 * Claims and releases idempotency keys in the store. Changes that arrive within the minimum
 * interval after a write are batched in the next write, each as a nested transaction. The first
 * change after an idle period is written without delay. {@link #tick()} has to be called every few
 * milliseconds to send the writes that are due. Results are delivered on the thread that calls this
 * class or on the thread of the store. Thread-safe.
 *
 * <p>Entries cannot share a write, so the minimum interval between the writes of each entry is
 * multiplied by the number of entries: with an interval of 20 ms, all entries together make at most
 * 50 writes a second. In the benchmark {@code journal.load} with 8 entries, the total is 195 writes
 * a second; with intervals that do not grow with the number of entries it is 383, which exceeds the
 * limits of the service.
 */
public final class ClaimStore implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(ClaimStore.class);

    private final KeyValueStore mStore;
    private final Clock mClock;
    private final ClaimSettings mSettings;
    private final ClaimLease mLease;
    private final LinkedList<PendingChange> mPendingChanges = new LinkedList<>();
    private final Set<String> mKeysInFlight = new HashSet<>();
    private long mMinWriteIntervalNanos;
    private long mNextWriteNanos;
    private int mWritesInFlight;
    private boolean mClosed;

    /**
     * Creates the claim store of one entry.
     *
     * @param store the store
     * @param clock measures the write intervals, the retry delays and the leases
     * @param settings limits of the claim store
     */
    public ClaimStore(KeyValueStore store, Clock clock, ClaimSettings settings) {
        mStore = store;
        mClock = clock;
        mSettings = settings;
        mLease = new ClaimLease(store, clock, settings);
        mMinWriteIntervalNanos = settings.minWriteInterval().toNanos();
        mNextWriteNanos = clock.monotonicNanos();
    }

    /**
     * Sets the number of entries that make claims. The minimum time between two writes grows with
     * it, which limits the total rate of writes of all entries.
     *
     * @param entries number of registered entries; values below 1 count as 1
     */
    public synchronized void setEntryCount(int entries) {
        mMinWriteIntervalNanos = mSettings.minWriteInterval().toNanos() * Math.max(1, entries);
    }

    /**
     * Claims a key for an attempt. The claim is queued when the result is subscribed to.
     *
     * @param request the key and the attempt
     * @return the result; it arrives after the next write, which may be delayed by the minimum
     *     interval, or after several writes if one fails
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
                            enqueue(
                                    new PendingChange.PendingClaim(
                                            claim, mClock.monotonicNanos(), emitter::complete));
                        });
    }

    /**
     * Releases a claim whose attempt certainly has not run and will not run. The release is
     * repeated for a limited time if the store does not respond.
     *
     * @param claim a claim that was granted or whose outcome is unknown
     * @return the result
     */
    public Uni<ReleaseResult> release(Claim claim) {
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                enqueue(
                                        new PendingChange.PendingRelease(
                                                claim,
                                                mClock.monotonicNanos(),
                                                emitter::complete)));
    }

    /** Sends the writes that are due. Has to be called every few milliseconds. */
    public void tick() {
        mLease.tick();
        // The lease is looked up for each write because a rejected write invalidates it.
        long leaseId = mLease.currentLeaseId();
        while (leaseId != 0) {
            List<PendingChange> batch = takeBatch();
            if (batch.isEmpty()) {
                return;
            }
            write(batch, leaseId);
            leaseId = mLease.currentLeaseId();
        }
        failClaimsWithoutLease();
    }

    /**
     * Completes all queued changes. Releases fail. Claims are unavailable, or unknown if an earlier
     * write of them had an unknown outcome.
     */
    @Override
    public void close() {
        List<PendingChange> changes;
        synchronized (this) {
            mClosed = true;
            changes = List.copyOf(mPendingChanges);
            mPendingChanges.clear();
        }
        changes.forEach(change -> change.failureReport("the claim store is closed").run());
    }

    private void enqueue(PendingChange change) {
        String rejectionReason = null;
        synchronized (this) {
            if (mClosed) {
                rejectionReason = "the claim store is closed";
            } else if (mPendingChanges.size() >= mSettings.maxPendingChanges()) {
                rejectionReason = "too many claims and releases wait to be written";
            } else {
                mPendingChanges.add(change);
            }
        }
        if (rejectionReason != null) {
            change.failureReport(rejectionReason).run();
        }
    }

    private void failClaimsWithoutLease() {
        String reason = mLease.failureReason();
        if (reason == null) {
            return;
        }
        List<Runnable> reports = new ArrayList<>();
        synchronized (this) {
            Iterator<PendingChange> pending = mPendingChanges.iterator();
            while (pending.hasNext()) {
                PendingChange change = pending.next();
                if (change instanceof PendingChange.PendingClaim || isOverdue(change)) {
                    pending.remove();
                    reports.add(change.failureReport(reason));
                }
            }
        }
        reports.forEach(Runnable::run);
    }

    /**
     * Removes the changes of the next write from the queue. Returns none unless the minimum
     * interval after the last write has elapsed, the write is full, or it contains a retry. A key
     * occurs only once in a write, because the service rejects a transaction that writes a key
     * twice, and is in only one write at a time.
     */
    private synchronized List<PendingChange> takeBatch() {
        if (mWritesInFlight >= mSettings.maxWritesInFlight()) {
            return List.of();
        }
        long nowNanos = mClock.monotonicNanos();
        Set<String> keys = new HashSet<>();
        List<PendingChange> batch = new ArrayList<>();
        for (PendingChange change : mPendingChanges) {
            boolean ready =
                    nowNanos - change.notBeforeNanos() >= 0
                            && !mKeysInFlight.contains(change.key());
            if (ready && batch.size() < mSettings.maxChangesPerWrite() && keys.add(change.key())) {
                batch.add(change);
            }
        }
        boolean batchFull = batch.size() == mSettings.maxChangesPerWrite();
        boolean containsRetry = batch.stream().anyMatch(PendingChange::isRetry);
        boolean due = !batch.isEmpty() && nowNanos - mNextWriteNanos >= 0;
        if (!batchFull && !due && !containsRetry) {
            return List.of();
        }
        mNextWriteNanos = nowNanos + mMinWriteIntervalNanos;
        mPendingChanges.removeAll(new HashSet<>(batch));
        mKeysInFlight.addAll(keys);
        mWritesInFlight++;
        return batch;
    }

    private void write(List<PendingChange> batch, long leaseId) {
        Operation[] operations =
                batch.stream()
                        .map(change -> new Operation.Nested(change.transaction(leaseId)))
                        .toArray(Operation[]::new);
        mStore.transact(Transaction.of(operations))
                .subscribe()
                .with(
                        result -> handleWriteResult(batch, leaseId, result),
                        failure -> resolveUnknownOutcome(batch, failure.toString()));
    }

    private void handleWriteResult(
            List<PendingChange> batch, long leaseId, StoreResult<TransactionResult> result) {
        switch (result) {
            case StoreResult.Succeeded<TransactionResult>(TransactionResult response) -> {
                List<PendingChange.NextStep> nextSteps = new ArrayList<>();
                for (int i = 0; i < batch.size(); i++) {
                    nextSteps.add(batch.get(i).handleResponse(response.nested(i)));
                }
                reportOrRequeue(
                        batch, nextSteps, "the key was changed by others during each attempt");
            }
            case StoreResult.Rejected<TransactionResult>(String reason) -> {
                LOG.warn("[store] the store rejected a write of claims: {}", reason);
                mLease.invalidate(leaseId);
                reportOrRequeue(batch, retryAll(batch), reason);
            }
            case StoreResult.Unavailable<TransactionResult>(String reason) ->
                    handleFailedWrite(batch, reason);
            case StoreResult.Unknown<TransactionResult>(String reason) ->
                    resolveUnknownOutcome(batch, reason);
        }
    }

    private void resolveUnknownOutcome(List<PendingChange> batch, String reason) {
        LOG.warn(
                "[store] outcome of a write of {} claims is unknown; reading them back: {}",
                batch.size(),
                reason);
        batch.forEach(PendingChange::markMayTakeEffectLate);
        String[] keys = batch.stream().map(PendingChange::key).toArray(String[]::new);
        mStore.transact(Transaction.read(keys))
                .subscribe()
                .with(
                        result -> handleReadBack(batch, result),
                        failure -> handleFailedWrite(batch, failure.toString()));
    }

    private void handleReadBack(List<PendingChange> batch, StoreResult<TransactionResult> result) {
        if (result
                instanceof StoreResult.Succeeded<TransactionResult>(TransactionResult response)) {
            List<PendingChange.NextStep> nextSteps = new ArrayList<>();
            for (int i = 0; i < batch.size(); i++) {
                nextSteps.add(batch.get(i).handleReadBack(response.read(i)));
            }
            reportOrRequeue(batch, nextSteps, "the write did not take effect");
        } else {
            handleFailedWrite(batch, "could not read the keys back: " + result);
        }
    }

    /**
     * Reports the results of the completed changes and puts the others back at the head of the
     * queue, in the same order. Changes that have used all attempts fail.
     */
    private void reportOrRequeue(
            List<PendingChange> batch,
            List<PendingChange.NextStep> nextSteps,
            String retryFailureReason) {
        List<Runnable> reports = new ArrayList<>();
        synchronized (this) {
            markWriteFinished(batch);
            for (int i = batch.size() - 1; i >= 0; i--) {
                PendingChange change = batch.get(i);
                if (nextSteps.get(i) == PendingChange.NextStep.DONE) {
                    reports.add(change.resultReport());
                } else if (change.allowRetry() && !mClosed) {
                    mPendingChanges.addFirst(change);
                } else {
                    reports.add(change.failureReport(retryFailureReason));
                }
            }
        }
        reports.reversed().forEach(Runnable::run);
    }

    /** Fails the claims of a batch; releases are repeated after a delay until their time limit. */
    private void handleFailedWrite(List<PendingChange> batch, String reason) {
        List<Runnable> reports = new ArrayList<>();
        synchronized (this) {
            markWriteFinished(batch);
            for (PendingChange change : batch) {
                boolean failPermanently =
                        change instanceof PendingChange.PendingClaim || isOverdue(change);
                if (failPermanently || mClosed) {
                    reports.add(change.failureReport(reason));
                } else {
                    change.setNotBeforeNanos(
                            mClock.monotonicNanos() + mSettings.retryDelay().toNanos());
                    mPendingChanges.add(change);
                }
            }
        }
        reports.forEach(Runnable::run);
    }

    private void markWriteFinished(List<PendingChange> batch) {
        mWritesInFlight--;
        batch.forEach(change -> mKeysInFlight.remove(change.key()));
    }

    private boolean isOverdue(PendingChange change) {
        long ageNanos = mClock.monotonicNanos() - change.createdNanos();
        return ageNanos >= mSettings.releaseTimeout().toNanos();
    }

    private static List<PendingChange.NextStep> retryAll(List<PendingChange> batch) {
        return batch.stream().map(ignored -> PendingChange.NextStep.RETRY).toList();
    }
}
