package org.knapweedbank.jobs.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.jobs.TaskName;

/** State of one step of one occurrence. */
final class Step {
    final Job mJob;
    final Occurrence mOccurrence;
    final int mNumber;
    final StepSpec mSpec;
    final List<Task> mTasks;
    int mDone;
    int mWaiting;
    private int mObserved;
    private double mObservedMillis;

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
        mWaiting = spec.count();
    }

    /** Takes the run time of a task that has ended, at full pace. */
    void observe(double millis) {
        mObserved++;
        mObservedMillis += millis;
    }

    /** Run time of a task at full pace: that of tasks that have ended, or what is expected. */
    double runMillis(RunTimeEstimator runTimes) {
        return mObserved > 0
                ? mObservedMillis / mObserved
                : runTimes.millis(mJob.queue().key(), mSpec.estimate().toMillis());
    }

    boolean complete() {
        return mDone == mTasks.size();
    }

    /** Tells whether all steps that this one depends on have ended. */
    boolean ready() {
        return mSpec.after().stream().allMatch(n -> mOccurrence.mSteps.get(n).complete());
    }
}
