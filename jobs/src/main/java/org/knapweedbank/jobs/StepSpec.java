package org.knapweedbank.jobs;

import java.time.Duration;
import java.util.List;
import org.knapweedbank.model.Resources;

/**
 * One step of a job: tasks with the same requirements that may run in parallel.
 *
 * @param count number of tasks
 * @param perTask resources that each task requests
 * @param estimate the caller's rough estimate of the run time of a task
 * @param after indexes of the earlier steps that must be complete before this step starts
 * @param traits execution properties of the tasks
 * @param placement restrictions and preferences for the VMs of the tasks
 * @param image name of the program that the tasks run, empty if not given; tasks of the same image
 *     are expected to behave alike
 * @param latencyObjective limit of the tail latency of tasks that serve users, zero if there is
 *     none
 * @param disruptionBudget number of tasks that may be unavailable at a time because of orders of
 *     the scheduler; negative if not limited
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
    private static final Resources MAX_RESOURCES =
            new Resources(Limits.MAX_AMOUNT, Limits.MAX_AMOUNT, (int) Limits.MAX_AMOUNT);

    /**
     * Checks the ranges and copies the list.
     *
     * @throws IllegalArgumentException when there is no task or a number is out of range
     */
    public StepSpec {
        if (count < 1) {
            throw new IllegalArgumentException("step must have at least one task: " + count);
        }
        if (!perTask.isNonNegative() || !perTask.fitsIn(MAX_RESOURCES)) {
            throw new IllegalArgumentException("resources are out of range: " + perTask);
        }
        Limits.requireInRange(estimate, "estimate");
        Limits.requireInRange(latencyObjective, "latency objective");
        after = List.copyOf(after);
    }

    /**
     * Returns the resources that one task reserves on its VM.
     *
     * @return the reservation; a filler reserves only memory and accelerators, since it uses only
     *     processor time that other tasks leave
     */
    public Resources reservation() {
        return traits.filler()
                ? new Resources(0, perTask.memoryMb(), perTask.accelerators())
                : perTask;
    }

    /**
     * Returns whether the tasks serve users under a latency objective.
     *
     * @return true if there is an objective
     */
    public boolean serving() {
        return !latencyObjective.isZero();
    }

    /**
     * Returns a short description for logs.
     *
     * @return number of tasks, processor time per task in thousandths of a core, kind of the tasks,
     *     their estimated run time, and the limits on their placement and disruption if there are
     *     any
     */
    public String summary() {
        String kind = serving() ? "serving" : traits.filler() ? "filler" : "batch";
        StringBuilder text = new StringBuilder();
        text.append(count).append('x').append(perTask.milliCpu()).append("m ").append(kind);
        text.append(' ').append(estimate.toMillis()).append("ms");
        if (placement.maxPerVm() > 0) {
            text.append(" max ").append(placement.maxPerVm()).append(" per VM");
        }
        if (disruptionBudget >= 0) {
            text.append(" budget ").append(disruptionBudget);
        }
        return text.toString();
    }
}
