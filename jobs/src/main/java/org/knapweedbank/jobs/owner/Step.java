package org.knapweedbank.jobs.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.TaskName;

/** State of one step in one occurrence of a job. */
final class Step {
    final Job mJob;
    final Occurrence mOccurrence;
    final int mNumber;
    final StepSpec mSpec;
    final List<Task> mTasks;
    int mDoneTasks;

    /** Number of tasks that are not done and have no run. */
    int mWaitingTasks;

    /** Number of completed tasks whose run time is in {@link #mObservedRunMillis}. */
    private int mObservedRuns;

    private double mObservedRunMillis;

    Step(Job job, Occurrence occurrence, int number, StepSpec spec) {
        mJob = job;
        mOccurrence = occurrence;
        mNumber = number;
        mSpec = spec;
        mTasks = new ArrayList<>(spec.count());
        IntStream.range(0, spec.count())
                .mapToObj(i -> new TaskName(job.id(), occurrence.mNumber, number, i))
                .map(name -> new Task(name, this))
                .forEach(mTasks::add);
        mWaitingTasks = spec.count();
    }

    /**
     * Adds the run time of a completed task.
     *
     * @param millis run time at full speed, in milliseconds
     */
    void observeRunTime(double millis) {
        mObservedRuns++;
        mObservedRunMillis += millis;
    }

    /**
     * Returns the expected run time of a task at full speed in milliseconds: the mean of the
     * completed tasks of the step or, if there are none, the estimate.
     */
    double expectedRunMillis(RunTimeEstimator runTimeEstimator) {
        return mObservedRuns > 0
                ? mObservedRunMillis / mObservedRuns
                : runTimeEstimator.expectedMillis(mJob.queue().key(), mSpec.estimate().toMillis());
    }

    /** Returns whether a task of the step has a run. */
    boolean hasRuns() {
        return mWaitingTasks < mTasks.size() - mDoneTasks
                || mDoneTasks > 0 && mTasks.stream().anyMatch(task -> task.mRun != null);
    }

    /**
     * Returns the work that is left, in tasks; a task that runs counts with its remaining share.
     */
    double remainingTasks() {
        if (complete()) {
            return 0;
        }
        if (mWaitingTasks == mTasks.size()) {
            return mWaitingTasks;
        }
        double remaining = 0;
        for (Task task : mTasks) {
            remaining += task.mDone ? 0 : task.remainingShare();
        }
        return remaining;
    }

    /** Returns the largest share of a task that is left, 0 if the step is complete. */
    double maxRemainingShare() {
        if (complete()) {
            return 0;
        }
        if (mWaitingTasks > 0) {
            return 1;
        }
        return mTasks.stream()
                .filter(task -> !task.mDone)
                .mapToDouble(Task::remainingShare)
                .max()
                .orElse(0);
    }

    /**
     * Returns the tasks in the order in which they are started. Of a long-running step, those that
     * have waited longest come first, since only they may use room that is kept for other jobs.
     */
    List<Task> tasksInStartOrder() {
        return mSpec.traits().longRunning()
                ? mTasks.stream().sorted(Comparator.comparingLong(t -> t.mWaitingSince)).toList()
                : mTasks;
    }

    boolean complete() {
        return mDoneTasks == mTasks.size();
    }

    /** Returns whether tasks of the step wait and all steps that it depends on are complete. */
    boolean hasReadyTasks() {
        return mWaitingTasks > 0 && ready();
    }

    /** Returns whether all steps that this step depends on are complete. */
    boolean ready() {
        return mSpec.after().stream().allMatch(n -> mOccurrence.mSteps.get(n).complete());
    }
}
