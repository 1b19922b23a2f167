package org.knapweedbank.scheduling;

import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;

/** Decision about a task. */
public sealed interface SchedulingDecision {
    /**
     * Start the task on a VM.
     *
     * @param task the task
     * @param vm the VM
     * @param reserved resources that the ledger holds for the task on the VM, which the agent
     *     reserves as well; corrected by the usage of the task's class
     */
    record Place(PendingTask task, VmId vm, Resources reserved) implements SchedulingDecision {}

    /**
     * Checkpoint a batch task and stop it, so that an urgent task can start.
     *
     * @param victim task to checkpoint
     * @param vm VM that holds it
     * @param beneficiary the urgent task
     */
    record Preempt(TaskId victim, VmId vm, TaskId beneficiary) implements SchedulingDecision {}

    /**
     * The task can never run in this partition; it has left its queue.
     *
     * @param task the task
     * @param reason a sentence on which an operator can act
     */
    record NeverFits(PendingTask task, String reason) implements SchedulingDecision {}
}
