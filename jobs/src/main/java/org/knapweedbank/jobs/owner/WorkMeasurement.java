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
        if (JobWork.isBatch(task.mStep)) {
            add(task.mStep, measureProgress(task, DONE_PERCENT));
        }
    }

    /**
     * Adds the progress of the runs of unfinished jobs and returns the work since the previous
     * call.
     */
    Map<WorkPool, Double> take() {
        for (Job job : mState.unfinishedJobs()) {
            for (Occurrence occurrence : job.mOccurrences) {
                occurrence.mSteps.forEach(this::addProgress);
            }
        }
        Map<WorkPool, Double> work = mCoreMillis;
        mCoreMillis = new HashMap<>();
        return work;
    }

    /** Adds the progress of the runs of a step at once, as each sample walks all runs. */
    private void addProgress(Step step) {
        boolean started = step.mWaitingTasks < step.mTasks.size();
        if (!started || step.complete() || !JobWork.isBatch(step)) {
            return;
        }
        int percent = 0;
        for (Task task : step.mTasks) {
            if (task.mRun != null && !task.mDone) {
                percent += measureProgress(task, task.mRun.mProgressPercent);
            }
        }
        add(step, percent);
    }

    /** Records the progress of a task and returns the part of it that counts, in percent. */
    private static int measureProgress(Task task, int percent) {
        int measured = task.mMeasuredPercent;
        if (percent <= measured) {
            return 0;
        }
        task.mMeasuredPercent = percent;
        return measured < 0 ? 0 : percent - measured;
    }

    /** Adds work of a step, in percent of one task, unless its job runs on idle room. */
    private void add(Step step, int percent) {
        if (percent > 0 && !step.mJob.mOnIdleRoom) {
            double coreMillis =
                    JobWork.taskCoreMillis(step, mState.mRunTimeEstimator) * percent / DONE_PERCENT;
            mCoreMillis.merge(JobWork.pool(step), coreMillis, Double::sum);
        }
    }
}
