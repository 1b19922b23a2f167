package org.knapweedbank.control;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.knapweedbank.store.journal.JournalOutcome;
import org.knapweedbank.store.journal.PartitionJournal;
import org.knapweedbank.store.lease.Ownership;
import org.knapweedbank.worker.TaskStatus;
import org.knapweedbank.worker.WorkerResult;

/**
 * A partition that this entry owns, with its ownership, journal, controller and pending replies to
 * operators.
 */
final class OwnedPartition implements ControllerOutput {
    private final Ownership mOwnership;
    private final PartitionJournal mJournal;
    private final Consumer<Runnable> mOnControlThread;
    private final Consumer<OwnedPartition> mOnFenced;
    private final WorkerTaskReader mWorkers;
    private final AtomicInteger mPendingAppends = new AtomicInteger();
    private final Set<PendingReply<?>> mPendingReplies = new HashSet<>();
    private PartitionController mController;

    OwnedPartition(
            Ownership ownership,
            PartitionJournal journal,
            Consumer<Runnable> onControlThread,
            Consumer<OwnedPartition> fenced,
            WorkerTaskReader workers) {
        mOwnership = ownership;
        mJournal = journal;
        mOnControlThread = onControlThread;
        mOnFenced = fenced;
        mWorkers = workers;
    }

    void setController(PartitionController controller) {
        mController = controller;
    }

    PartitionController controller() {
        return mController;
    }

    Ownership ownership() {
        return mOwnership;
    }

    PartitionJournal journal() {
        return mJournal;
    }

    @Override
    public boolean append(JournalRecord record, Runnable onCommitted) {
        mPendingAppends.incrementAndGet();
        boolean accepted =
                mJournal.append(
                        JournalCodec.encode(record),
                        outcome -> mOnControlThread.accept(() -> onWritten(outcome, onCommitted)));
        if (!accepted) {
            mPendingAppends.decrementAndGet();
        }
        return accepted;
    }

    private void onWritten(JournalOutcome outcome, Runnable onCommitted) {
        mPendingAppends.decrementAndGet();
        switch (outcome) {
            case JournalOutcome.Committed done -> onCommitted.run();
            case JournalOutcome.Fenced fenced -> mOnFenced.accept(this);
            case JournalOutcome.Closed closed -> {}
        }
    }

    @Override
    public int pendingAppendCount() {
        return mPendingAppends.get();
    }

    @Override
    public void listWorker(String address, Consumer<Optional<List<TaskStatus>>> reply) {
        mWorkers.list(address)
                .subscribe()
                .with(
                        result -> mOnControlThread.accept(() -> reply.accept(attempts(result))),
                        failure -> mOnControlThread.accept(() -> reply.accept(Optional.empty())));
    }

    private static Optional<List<TaskStatus>> attempts(WorkerResult<List<TaskStatus>> result) {
        return result instanceof WorkerResult.Succeeded<List<TaskStatus>>(List<TaskStatus> list)
                ? Optional.of(list)
                : Optional.empty();
    }

    /** Compacts the journal into a snapshot when the log has at least {@code segments} segments. */
    void compactIfNeeded(int segments) {
        if (mJournal.segmentCount() >= segments) {
            byte[] snapshot = JournalCodec.encodeSnapshot(mController.snapshot());
            mJournal.compact(snapshot, outcome -> {});
        }
    }

    /**
     * Wraps a reply callback so that it receives an unknown outcome if the ownership ends before
     * the result is known.
     */
    <T> Consumer<JobResult<T>> trackReply(Consumer<JobResult<T>> reply) {
        PendingReply<T> pending = new PendingReply<>(reply);
        mPendingReplies.add(pending);
        return result -> {
            mPendingReplies.remove(pending);
            reply.accept(result);
        };
    }

    /** Closes the journal and completes the pending replies with an unknown outcome. */
    void close() {
        mJournal.close();
        Set.copyOf(mPendingReplies).forEach(PendingReply::completeUnknown);
        mPendingReplies.clear();
    }

    /** Reply to an operator that waits for a journal commit; compared by identity. */
    private static final class PendingReply<T> {
        private final Consumer<JobResult<T>> mReply;

        private PendingReply(Consumer<JobResult<T>> reply) {
            mReply = reply;
        }

        private void completeUnknown() {
            mReply.accept(
                    new JobResult.Unknown<>(
                            "the partition has moved to another entry before the change was"
                                    + " confirmed; read the job to see whether it took effect"));
        }
    }
}
