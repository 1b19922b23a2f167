package org.knapweedbank.jobs.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.knapweedbank.jobs.admission.Urgency;

/**
 * Order in which jobs are placed: by the priority of their queues and, within a priority, by
 * descending value density, the value of a job to its caller per unit of remaining work.
 *
 * <p>A job has value for its caller only once it is complete. So a job that is nearly complete goes
 * before one of the same size that has not started, and under overload few jobs are in progress at
 * a time. A job that can only finish late has less value, but the work that it has done still
 * counts.
 *
 * @param priority priority of the queue, 0 first
 * @param missedLimits 0 if the job can meet its objective, 1 if it can only meet the late limit, 2
 *     if it can meet neither
 * @param deadline wall time at which the objective ends
 * @param valueDensity value of the job to its caller per unit of remaining work
 */
record JobUrgency(int priority, int missedLimits, Instant deadline, double valueDensity)
        implements Urgency<JobUrgency> {
    /**
     * Late limit as a multiple of the objective. A job that finishes within it is late but still
     * has some value.
     */
    static final int LATE_LIMIT_FACTOR = 3;

    /** Share of its value that a job keeps, by the number of limits that it misses. */
    private static final double[] VALUE_FACTORS = {1, 0.2, 0.02};

    /**
     * Exponent by which the value of a job grows with its total work: a large job has more value
     * than a small one, but less than in proportion.
     */
    private static final double SIZE_EXPONENT = 0.7;

    /**
     * Lower bound of the work of a job in core-milliseconds; smaller jobs count as equally small.
     */
    private static final double MIN_WORK_CORE_MILLIS = 1;

    private static final Comparator<JobUrgency> ORDER =
            Comparator.comparingInt(JobUrgency::priority)
                    .thenComparingDouble(urgency -> -urgency.valueDensity())
                    .thenComparing(JobUrgency::deadline);

    /** Computes the urgency of a job. */
    static JobUrgency of(Job job, Instant now, RunTimeEstimator runTimeEstimator) {
        Duration objective = objective(job, runTimeEstimator);
        Instant deadline = job.accepted().plus(objective);
        Instant end = now.plus(remainingCriticalPath(job, runTimeEstimator));
        int missedLimits = 2;
        if (!end.isAfter(deadline)) {
            missedLimits = 0;
        } else if (!end.isAfter(job.accepted().plus(objective.multipliedBy(LATE_LIMIT_FACTOR)))) {
            missedLimits = 1;
        }
        double valueDensity = VALUE_FACTORS[missedLimits] * valueDensity(job, runTimeEstimator);
        return new JobUrgency(job.queue().priority(), missedLimits, deadline, valueDensity);
    }

    /** Returns the value of a job that meets its objective, per unit of remaining work. */
    private static double valueDensity(Job job, RunTimeEstimator runTimeEstimator) {
        double totalWork = workCoreMillis(job, step -> step.mTasks.size(), runTimeEstimator);
        double remaining = workCoreMillis(job, Step::remainingTasks, runTimeEstimator);
        return Math.pow(Math.max(MIN_WORK_CORE_MILLIS, totalWork), SIZE_EXPONENT)
                / Math.max(MIN_WORK_CORE_MILLIS, remaining);
    }

    /** Returns the work in a given number of tasks of each step, in core-milliseconds. */
    private static double workCoreMillis(
            Job job, ToDoubleFunction<Step> tasks, RunTimeEstimator runTimeEstimator) {
        return job.steps()
                .mapToDouble(
                        step ->
                                JobWork.taskCoreMillis(step, runTimeEstimator)
                                        * tasks.applyAsDouble(step))
                .sum();
    }

    /**
     * Returns the time within which the caller expects the job to complete: a multiple of its
     * critical path plus a constant, both set by the queue.
     */
    static Duration objective(Job job, RunTimeEstimator runTimeEstimator) {
        double pathMillis =
                criticalPathMillis(
                        job.mOccurrences.getFirst().mSteps,
                        step -> step.expectedRunMillis(runTimeEstimator));
        return Duration.ofMillis((long) (pathMillis * job.queue().stretch()))
                .plus(job.queue().latencyTarget());
    }

    /** Returns the longest critical path of the remaining work over all occurrences. */
    static Duration remainingCriticalPath(Job job, RunTimeEstimator runTimeEstimator) {
        return Duration.ofMillis(
                (long)
                        job.mOccurrences.stream()
                                .mapToDouble(
                                        o ->
                                                criticalPathMillis(
                                                        o.mSteps,
                                                        step ->
                                                                remainingMillis(
                                                                        step, runTimeEstimator)))
                                .max()
                                .orElse(0));
    }

    /** Returns the length of the longest chain of dependent steps, in milliseconds. */
    private static double criticalPathMillis(List<Step> steps, ToDoubleFunction<Step> millis) {
        double[] finishMillis = new double[steps.size()];
        double longest = 0;
        for (int i = 0; i < finishMillis.length; i++) {
            Step step = steps.get(i);
            double startMillis =
                    step.mSpec.after().stream().mapToDouble(n -> finishMillis[n]).max().orElse(0);
            finishMillis[i] = startMillis + millis.applyAsDouble(step);
            longest = Math.max(longest, finishMillis[i]);
        }
        return longest;
    }

    /** Returns the remaining run time of the step's slowest task at full speed, in milliseconds. */
    private static double remainingMillis(Step step, RunTimeEstimator runTimeEstimator) {
        if (step.complete()) {
            return 0;
        }
        return step.expectedRunMillis(runTimeEstimator) * step.maxRemainingShare();
    }

    @Override
    public boolean overtakes(JobUrgency earlier) {
        return priority < earlier.priority
                || priority == earlier.priority && valueDensity > earlier.valueDensity;
    }

    @Override
    public int compareTo(JobUrgency other) {
        return ORDER.compare(this, other);
    }
}
