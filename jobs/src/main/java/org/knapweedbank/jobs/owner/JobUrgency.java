package org.knapweedbank.jobs.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import org.knapweedbank.jobs.JobQueue;

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

    static JobUrgency of(Job job, Instant now) {
        JobQueue queue = job.queue();
        Duration objective = objective(job);
        Instant due = job.accepted().plus(objective);
        Instant end = now.plus(remaining(job));
        int missed = 2;
        if (!end.isAfter(due)) {
            missed = 0;
        } else if (!end.isAfter(job.accepted().plus(objective.multipliedBy(LATE_FACTOR)))) {
            missed = 1;
        }
        return new JobUrgency(queue.priority(), missed, due);
    }

    /** Time in which the caller expects the job: a multiple of its longest chain and a constant. */
    static Duration objective(Job job) {
        long chain = chain(job.mOccurrences.getFirst().mSteps, false);
        long stretched = (long) (chain * job.queue().stretch());
        return Duration.ofMillis(stretched).plus(job.queue().latencyTarget());
    }

    /** Longest chain of work that has not been done yet. */
    private static Duration remaining(Job job) {
        return Duration.ofMillis(
                job.mOccurrences.stream()
                        .mapToLong(occurrence -> chain(occurrence.mSteps, true))
                        .max()
                        .orElse(0));
    }

    private static long chain(List<Step> steps, boolean onlyOpen) {
        long[] ends = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < ends.length; i++) {
            Step step = steps.get(i);
            long start = step.mSpec.after().stream().mapToLong(n -> ends[n]).max().orElse(0);
            ends[i] = start + (onlyOpen ? open(step) : step.mSpec.estimate().toMillis());
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }

    /** Work that is left of the step's slowest task. */
    private static long open(Step step) {
        if (step.complete()) {
            return 0;
        }
        int percent =
                step.mTasks.stream()
                        .filter(task -> !task.mDone)
                        .mapToInt(task -> task.mAttempt == null ? 0 : task.mAttempt.mPercent)
                        .min()
                        .orElse(0);
        return step.mSpec.estimate().toMillis() * (100 - percent) / 100;
    }

    @Override
    public int compareTo(JobUrgency other) {
        return ORDER.compare(this, other);
    }
}
