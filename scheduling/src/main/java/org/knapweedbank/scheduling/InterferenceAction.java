package org.knapweedbank.scheduling;

import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;

/** Action against a batch task that interferes with a service on the same VM. */
public sealed interface InterferenceAction {
    /**
     * Limits the CPU time of a task.
     *
     * @param task task to limit
     * @param vm VM that runs the task
     * @param share share of its CPU time that the task may use, above 0 and up to 1; 1 removes the
     *     limit
     */
    record Throttle(TaskId task, VmId vm, double share) implements InterferenceAction {}

    /**
     * Checkpoints and stops a task so that it is placed on another VM.
     *
     * @param task task to evict
     * @param vm VM that runs the task
     */
    record Evict(TaskId task, VmId vm) implements InterferenceAction {}
}
