package org.knapweedbank.jobs.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Order in which jobs get room. Queues go by priority. Within a priority, jobs that can still end
 * within their objective go by its end; those that can't follow, so that under overload they do not
 * make all others miss theirs as well.
 *
 * @param priority priority of the queue, 0 first
 * @param missed 0 if the objective can be met, 1 if only the late limit can, 2 if neither
 * @param due end of the objective
 */
record JobUrgency(int priority, int missed, Instant due) implements Comparable<JobUrgency> {
    /** An answer within this multiple of the objective is late, but still worth something. */
    private static final int LATE_FACTOR = 3;

    private static final Comparator<JobUrgency> ORDER =
            Comparator.comparingInt(JobUrgency::priority)
                    .thenComparingInt(JobUrgency::missed)
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
        return new JobUrgency(job.queue().priority(), missed, due);
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
