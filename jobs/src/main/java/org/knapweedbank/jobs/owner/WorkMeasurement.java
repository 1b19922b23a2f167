package org.knapweedbank.jobs.owner;

import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.jobs.admission.WorkPool;

/**
 * Adds up the work that tasks complete, by pool. Work that is done again after a lost run counts
 * once. The progress that a run of a former owner, or a checkpoint of its time, had made before it
 * was first seen does not count, since it was made at an unknown time.
 */
final class WorkMeasurement {
    private static final int DONE_PERCENT = 100;

    private final OwnerState mState;
    private Map<WorkPool, Double> mCoreMillis = new HashMap<>();

    WorkMeasurement(OwnerState state) {
        mState = state;
    }

    /** Adds the rest of the work of a task that is done. */
    void taskDone(Task task) {
        task.mMeasuredPercent = Math.max(0, task.mMeasuredPercent);
        addProgress(task, DONE_PERCENT);
    }

    /** Adds the progress of all runs and returns the work since the previous call. */
    Map<WorkPool, Double> take() {
        mState.mVms.values().stream()
                .flatMap(vm -> vm.mRuns.values().stream())
                .filter(run -> run.mProgressPercent > run.mTask.mMeasuredPercent)
                .filter(run -> run.mTask.mRun == run && !run.mTask.mDone)
                .forEach(run -> addProgress(run.mTask, run.mProgressPercent));
        Map<WorkPool, Double> work = mCoreMillis;
        mCoreMillis = new HashMap<>();
        return work;
    }

    private void addProgress(Task task, int percent) {
        if (task.mMeasuredPercent >= 0 && JobWork.isBatch(task.mStep)) {
            double coreMillis =
                    JobWork.taskCoreMillis(task.mStep, mState.mRunTimeEstimator)
                            * (percent - task.mMeasuredPercent)
                            / DONE_PERCENT;
            mCoreMillis.merge(JobWork.pool(task.mStep), coreMillis, Double::sum);
        }
        task.mMeasuredPercent = percent;
    }
}
