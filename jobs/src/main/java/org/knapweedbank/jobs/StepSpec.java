package org.knapweedbank.jobs;

import java.time.Duration;
import java.util.List;
import org.knapweedbank.model.Resources;

/**
 * One step of a job: tasks that need the same and may run side by side.
 *
 * @param count number of tasks
 * @param perTask what each task reserves
 * @param estimate the caller's rough estimate of a task's run time
 * @param after numbers of the earlier steps that must have ended
 * @param traits how the tasks behave
 * @param placement where the tasks may run
 * @param image name of what the tasks run, empty if not given; tasks of one image behave alike
 * @param latencyObjective bound on the tail latency of tasks that serve users, zero if none
 * @param disruptionBudget how many tasks may be away at once through orders of the scheduler;
 *     negative if not limited
 */
public record StepSpec(
        int count,
        Resources perTask,
        Duration estimate,
        List<Integer> after,
        StepTraits traits,
        PlacementRule placement,
        String image,
        Duration latencyObjective,
        int disruptionBudget) {
    /** Checks the ranges and copies the list. */
    public StepSpec {
        if (count < 1) {
            throw new IllegalArgumentException("a step has fewer than one task: " + count);
        }
        if (!perTask.isNonNegative()) {
            throw new IllegalArgumentException("resources are negative: " + perTask);
        }
        after = List.copyOf(after);
    }

    /**
     * What one task adds to the reserved amount of its VM.
     *
     * @return the reservation; a filler uses only processor time that is left over, so it reserves
     *     memory and accelerators alone
     */
    public Resources reservation() {
        return traits.filler()
                ? new Resources(0, perTask.memoryMb(), perTask.accelerators())
                : perTask;
    }

    /**
     * Tells whether the tasks serve users under a latency objective.
     *
     * @return true if there is an objective
     */
    public boolean serving() {
        return !latencyObjective.isZero();
    }

    /**
     * Short form for logs.
     *
     * @return number of tasks, processor time of each in thousandths of a core, how they behave,
     *     their estimated run time, and the limits on their placement and disruption if any
     */
    public String summary() {
        String kind = serving() ? "serving" : traits.filler() ? "filler" : "batch";
        StringBuilder text = new StringBuilder();
        text.append(count).append('x').append(perTask.milliCpu()).append("m ").append(kind);
        text.append(' ').append(estimate.toMillis()).append("ms");
        if (placement.maxPerVm() > 0) {
            text.append(" max ").append(placement.maxPerVm()).append(" a VM");
        }
        if (disruptionBudget >= 0) {
            text.append(" budget ").append(disruptionBudget);
        }
        return text.toString();
    }
}
