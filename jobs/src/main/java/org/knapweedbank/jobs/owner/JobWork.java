package org.knapweedbank.jobs.owner;

import org.knapweedbank.jobs.admission.WorkKind;
import org.knapweedbank.jobs.admission.WorkPool;

/** Work of jobs in core-milliseconds at full speed, by its kind. */
final class JobWork {
    private JobWork() {}

    /** Returns whether the tasks of a step do a limited amount of work for no users. */
    static boolean isBatch(Step step) {
        return !step.mSpec.traits().longRunning() && !step.mSpec.serving();
    }

    static WorkKind kind(Step step) {
        return step.mSpec.traits().filler() ? WorkKind.FILLER : WorkKind.RESERVED;
    }

    /** Returns the pool that does the work of a step. */
    static WorkPool pool(Step step) {
        return new WorkPool(step.mJob.queue().service(), kind(step));
    }

    /** Returns the work of one task of a step. */
    static double taskCoreMillis(Step step, RunTimeEstimator runTimeEstimator) {
        return step.expectedRunMillis(runTimeEstimator) * step.mSpec.perTask().milliCpu() / 1_000;
    }

    /** Returns the remaining work of a batch step. */
    static double remaining(Step step, RunTimeEstimator runTimeEstimator) {
        return step.complete() ? 0 : step.remainingTasks() * taskCoreMillis(step, runTimeEstimator);
    }

    /** Returns the work of a new job of one kind. */
    static double total(Job job, WorkKind kind, RunTimeEstimator runTimeEstimator) {
        return job.steps()
                .filter(step -> kind(step) == kind)
                .mapToDouble(step -> remaining(step, runTimeEstimator))
                .sum();
    }

    /** Returns the kind that most of the work of a new job is of. */
    static WorkKind mainKind(Job job, RunTimeEstimator runTimeEstimator) {
        double filler = total(job, WorkKind.FILLER, runTimeEstimator);
        double reserved = total(job, WorkKind.RESERVED, runTimeEstimator);
        return filler > reserved ? WorkKind.FILLER : WorkKind.RESERVED;
    }
}
