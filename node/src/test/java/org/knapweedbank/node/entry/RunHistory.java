package org.knapweedbank.node.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.knapweedbank.jobs.TaskName;

/** Starts and ends of tasks on all workers of a test, and the tasks that ran twice. */
final class RunHistory {
    private final Set<TaskName> mRunning = new HashSet<>();
    private final Map<String, Integer> mDoneOn = new HashMap<>();

    /** Tasks that have run to completion. */
    final Set<TaskName> mDone = new HashSet<>();

    /** Tasks that were started while they ran or after they had run to completion. */
    final Set<TaskName> mRepeated = new HashSet<>();

    void started(TaskName task) {
        if (!mRunning.add(task) || mDone.contains(task)) {
            mRepeated.add(task);
        }
    }

    void ended(TaskName task) {
        mRunning.remove(task);
    }

    void done(TaskName task, String worker) {
        mDoneOn.merge(worker, 1, Integer::sum);
        mDone.add(task);
    }

    /** Returns how many tasks have run to completion on a worker. */
    int doneOn(String worker) {
        return mDoneOn.getOrDefault(worker, 0);
    }

    Set<TaskName> running() {
        return Set.copyOf(mRunning);
    }
}
