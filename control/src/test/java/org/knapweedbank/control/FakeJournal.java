package org.knapweedbank.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.knapweedbank.worker.TaskStatus;

/** Journal whose commits happen when the test says so. */
final class FakeJournal implements ControllerOutput {
    private final List<JournalRecord> mCommitted = new ArrayList<>();
    private final Deque<JournalRecord> mWaiting = new ArrayDeque<>();
    private final Deque<Runnable> mCallbacks = new ArrayDeque<>();
    private boolean mFull;
    private Optional<List<TaskStatus>> mWorkerAnswer = Optional.empty();

    @Override
    public boolean append(JournalRecord record, Runnable committed) {
        if (mFull) {
            return false;
        }
        // Records go through the codec, as the state must be restorable from bytes alone.
        mWaiting.add(JournalCodec.decode(JournalCodec.encode(record)));
        mCallbacks.add(committed);
        return true;
    }

    @Override
    public int pendingAppends() {
        return mWaiting.size();
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

    /** Commits everything that waits, including what the callbacks append. */
    void commitAll() {
        while (!mWaiting.isEmpty()) {
            mCommitted.add(mWaiting.remove());
            mCallbacks.remove().run();
        }
    }

    /** What a new owner reads: records that were not committed are lost. */
    List<JournalRecord> committed() {
        return List.copyOf(mCommitted);
    }
}
