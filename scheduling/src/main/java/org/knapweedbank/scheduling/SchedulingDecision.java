package org.knapweedbank.scheduling;

import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;

/** Decision of the scheduler about a task. */
public sealed interface SchedulingDecision {
    /**
     * Starts a task on a VM.
     *
     * @param task task to start
     * @param vm VM to start it on
     * @param reserved resources reserved for the task in the ledger and by the agent; the declared
     *     resources corrected by the usage of the task class
     */
    record Place(PendingTask task, VmId vm, Resources reserved) implements SchedulingDecision {}

    /**
     * Checkpoints and stops a batch task to make room for an urgent task.
     *
     * @param victim batch task to checkpoint and stop
     * @param vm VM that runs the victim
     * @param preemptor urgent task that gets the capacity
     */
    record Preempt(TaskId victim, VmId vm, TaskId preemptor) implements SchedulingDecision {}

    /**
     * Rejects a task that fits on no VM of this partition. The task has been removed from its
     * queue.
     *
     * @param task the rejected task
     * @param reason explanation that tells an operator what to do
     */
    record NeverFits(PendingTask task, String reason) implements SchedulingDecision {}
}
