package org.knapweedbank.jobs.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Order in which jobs get room. Queues go by priority. Within a priority, jobs go by what their
 * callers gain for each unit of work that is left: a job serves its caller only once it has ended,
 * so one that is nearly done goes before one of the same size that has not begun, and under
 * overload few jobs are in progress at a time. A job that can only end late is worth less to its
 * caller, but what has been done of it still counts.
 *
 * @param priority priority of the queue, 0 first
 * @param missed 0 if the objective can be met, 1 if only the late limit can, 2 if neither
 * @param due end of the objective
 * @param gain what the caller gains for each unit of work that is left
 */
record JobUrgency(int priority, int missed, Instant due, double gain)
        implements Comparable<JobUrgency> {
    /** An answer within this multiple of the objective is late, but still worth something. */
    private static final int LATE_FACTOR = 3;

    /** Part of a job's gain that is left if it can end in time, late, or only after that. */
    private static final double[] GAIN_LEFT = {1, 0.2, 0.02};

    /** A caller gains more by a large job than by a small one, but less than in proportion. */
    private static final double SIZE_EXPONENT = 0.7;

    /** Work below which jobs count as equally small, in core-milliseconds. */
    private static final double LEAST_WORK = 1;

    private static final Comparator<JobUrgency> ORDER =
            Comparator.comparingInt(JobUrgency::priority)
                    .thenComparingDouble(urgency -> -urgency.gain())
                    .thenComparing(JobUrgency::due);

    static JobUrgency of(Job job, Instant now, RunTimeEstimator runTimes) {
        Duration objective = objective(job, runTimes);
        Instant due = job.accepted().plus(objective);
        Instant end = now.plus(remaining(job, runTimes));
        int missed = 2;
        if (!end.isAfter(due)) {
            missed = 0;
        } else if (!end.isAfter(job.accepted().plus(objective.multipliedBy(LATE_FACTOR)))) {
            missed = 1;
        }
        double gain = GAIN_LEFT[missed] * gain(job, runTimes);
        return new JobUrgency(job.queue().priority(), missed, due, gain);
    }

    /** What the caller gains by a job in time, for each unit of work that is left. */
    private static double gain(Job job, RunTimeEstimator runTimes) {
        double all = work(job, task -> 1.0, runTimes);
        double left = work(job, task -> task.mDone ? 0 : task.shareLeft(), runTimes);
        return Math.pow(Math.max(LEAST_WORK, all), SIZE_EXPONENT) / Math.max(LEAST_WORK, left);
    }

    /** Work of a share of each task, in core-milliseconds. */
    private static double work(Job job, ToDoubleFunction<Task> share, RunTimeEstimator runTimes) {
        return job.mOccurrences.stream()
                .flatMap(occurrence -> occurrence.mSteps.stream())
                .mapToDouble(
                        step ->
                                step.runMillis(runTimes)
                                        * step.mSpec.perTask().milliCpu()
                                        / 1_000
                                        * step.mTasks.stream().mapToDouble(share).sum())
                .sum();
    }

    /** Time in which the caller expects the job: a multiple of its longest chain and a constant. */
    static Duration objective(Job job, RunTimeEstimator runTimes) {
        double chain = chain(job.mOccurrences.getFirst().mSteps, step -> step.runMillis(runTimes));
        return Duration.ofMillis((long) (chain * job.queue().stretch()))
                .plus(job.queue().latencyTarget());
    }

    /** Longest chain of work that has not been done yet. */
    private static Duration remaining(Job job, RunTimeEstimator runTimes) {
        return Duration.ofMillis(
                (long)
                        job.mOccurrences.stream()
                                .mapToDouble(o -> chain(o.mSteps, step -> open(step, runTimes)))
                                .max()
                                .orElse(0));
    }

    private static double chain(List<Step> steps, ToDoubleFunction<Step> millis) {
        double[] ends = new double[steps.size()];
        double longest = 0;
        for (int i = 0; i < ends.length; i++) {
            Step step = steps.get(i);
            double start = step.mSpec.after().stream().mapToDouble(n -> ends[n]).max().orElse(0);
            ends[i] = start + millis.applyAsDouble(step);
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }

    /** Run time that is left of the step's slowest task, in milliseconds at full pace. */
    private static double open(Step step, RunTimeEstimator runTimes) {
        if (step.complete()) {
            return 0;
        }
        double left =
                step.mTasks.stream()
                        .filter(task -> !task.mDone)
                        .mapToDouble(Task::shareLeft)
                        .max()
                        .orElse(0);
        return step.runMillis(runTimes) * left;
    }

    @Override
    public int compareTo(JobUrgency other) {
        return ORDER.compare(this, other);
    }
}
