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

/** A partition that this entry owns: ownership, journal, controller and open replies. */
final class OwnedPartition implements ControllerOutput {
    private final Ownership mOwnership;
    private final PartitionJournal mJournal;
    private final Consumer<Runnable> mOnControlThread;
    private final Consumer<OwnedPartition> mFenced;
    private final WorkerLists mWorkers;
    private final AtomicInteger mPendingAppends = new AtomicInteger();
    private final Set<PendingReply<?>> mReplies = new HashSet<>();
    private PartitionController mController;

    OwnedPartition(
            Ownership ownership,
            PartitionJournal journal,
            Consumer<Runnable> onControlThread,
            Consumer<OwnedPartition> fenced,
            WorkerLists workers) {
        mOwnership = ownership;
        mJournal = journal;
        mOnControlThread = onControlThread;
        mFenced = fenced;
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
    public boolean append(JournalRecord record, Runnable committed) {
        mPendingAppends.incrementAndGet();
        boolean taken =
                mJournal.append(
                        JournalCodec.encode(record),
                        outcome -> mOnControlThread.accept(() -> written(outcome, committed)));
        if (!taken) {
            mPendingAppends.decrementAndGet();
        }
        return taken;
    }

    private void written(JournalOutcome outcome, Runnable committed) {
        mPendingAppends.decrementAndGet();
        switch (outcome) {
            case JournalOutcome.Committed done -> committed.run();
            case JournalOutcome.Fenced fenced -> mFenced.accept(this);
            case JournalOutcome.Closed closed -> {}
        }
    }

    @Override
    public int pendingAppends() {
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

    /** Writes a snapshot when the log has grown long. */
    void compactAfter(int segments) {
        if (mJournal.segments() >= segments) {
            byte[] snapshot = JournalCodec.encodeSnapshot(mController.snapshot());
            mJournal.compact(snapshot, outcome -> {});
        }
    }

    /** Wraps a reply, so that it is answered as unknown if the ownership ends first. */
    <T> Consumer<JobResult<T>> track(Consumer<JobResult<T>> reply) {
        PendingReply<T> pending = new PendingReply<>(reply);
        mReplies.add(pending);
        return result -> {
            mReplies.remove(pending);
            reply.accept(result);
        };
    }

    /** Ends the journal and answers the open replies as unknown. */
    void close() {
        mJournal.close();
        Set.copyOf(mReplies).forEach(PendingReply::unknown);
        mReplies.clear();
    }

    /** Reply to an operator that waits for the journal; compared by identity. */
    private static final class PendingReply<T> {
        private final Consumer<JobResult<T>> mReply;

        private PendingReply(Consumer<JobResult<T>> reply) {
            mReply = reply;
        }

        private void unknown() {
            mReply.accept(
                    new JobResult.Unknown<>(
                            "the partition has moved to another entry before the change was"
                                    + " confirmed; read the job to see whether it took effect"));
        }
    }
}
