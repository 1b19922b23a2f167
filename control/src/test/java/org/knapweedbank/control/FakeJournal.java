package org.knapweedbank.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.knapweedbank.worker.TaskStatus;

/**
 * Controller output with an in-memory journal that commits only when the test calls {@link
 * #commitAll()}.
 */
final class FakeJournal implements ControllerOutput {
    private final List<JournalRecord> mCommitted = new ArrayList<>();
    private final Deque<JournalRecord> mPending = new ArrayDeque<>();
    private final Deque<Runnable> mCallbacks = new ArrayDeque<>();
    private boolean mFull;
    private Optional<List<TaskStatus>> mWorkerAnswer = Optional.empty();

    @Override
    public boolean append(JournalRecord record, Runnable onCommitted) {
        if (mFull) {
            return false;
        }
        // Records pass through the codec, because the state must be restorable from bytes alone.
        mPending.add(JournalCodec.decode(JournalCodec.encode(record)));
        mCallbacks.add(onCommitted);
        return true;
    }

    @Override
    public int pendingAppendCount() {
        return mPending.size();
    }

    @Override
    public void listWorker(String address, Consumer<Optional<List<TaskStatus>>> reply) {
        reply.accept(mWorkerAnswer);
    }

    void setWorkerAnswer(TaskStatus... statuses) {
        mWorkerAnswer = Optional.of(List.of(statuses));
    }

    void setFull(boolean full) {
        mFull = full;
    }

    /** Commits all pending records, including those that the callbacks append. */
    void commitAll() {
        while (!mPending.isEmpty()) {
            mCommitted.add(mPending.remove());
            mCallbacks.remove().run();
        }
    }

    /** Returns the records that a new owner reads; uncommitted records are lost. */
    List<JournalRecord> committed() {
        return List.copyOf(mCommitted);
    }
}
