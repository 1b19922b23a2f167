package org.knapweedbank.control;

import java.util.Collection;
import java.util.TreeMap;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.JobSpec;

/** A job of a partition with its tasks. Not thread-safe. */
final class JobEntry {
    private final boolean mFromConfiguration;
    private final long mSubmittedMillis;
    private final TreeMap<Integer, TaskEntry> mTasks = new TreeMap<>();
    private JobSpec mSpec;
    private boolean mCancelled;
    private long mEndedMillis;

    JobEntry(JobSpec spec, boolean fromConfiguration, long submittedMillis) {
        mSpec = spec;
        mFromConfiguration = fromConfiguration;
        mSubmittedMillis = submittedMillis;
    }

    JobId id() {
        return mSpec.id();
    }

    JobSpec spec() {
        return mSpec;
    }

    void setSpec(JobSpec spec) {
        mSpec = spec;
    }

    boolean isService() {
        return mSpec.kind() == JobKind.SERVICE;
    }

    boolean isFromConfiguration() {
        return mFromConfiguration;
    }

    long submittedMillis() {
        return mSubmittedMillis;
    }

    boolean isCancelled() {
        return mCancelled;
    }

    void markCancelled() {
        mCancelled = true;
    }

    /**
     * Returns the wall-clock time at which the last task ended, in milliseconds since the Unix
     * epoch, or 0 if the job has not ended.
     */
    long endedMillis() {
        return mEndedMillis;
    }

    void setEndedMillis(long millis) {
        mEndedMillis = millis;
    }

    boolean isEnded() {
        // Tasks start in ascending order, so an unfinished one is found soonest from the end.
        return mTasks.descendingMap().values().stream().allMatch(task -> task.state().ended());
    }

    Collection<TaskEntry> tasks() {
        return mTasks.values();
    }

    TaskEntry task(int index) {
        return mTasks.get(index);
    }

    void add(TaskEntry task) {
        mTasks.put(task.id().index(), task);
    }

    int nextIndex() {
        return mTasks.isEmpty() ? 0 : mTasks.lastKey() + 1;
    }
}
