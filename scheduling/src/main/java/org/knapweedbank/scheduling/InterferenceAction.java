package org.knapweedbank.scheduling;

import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;

/** Action on a batch task that interferes with a service on its VM. */
public sealed interface InterferenceAction {
    /**
     * Limits the processor time of a task.
     *
     * @param task the task
     * @param vm its VM
     * @param share share from 0 (exclusive) to 1; 1 lifts the limit
     */
    record Throttle(TaskId task, VmId vm, double share) implements InterferenceAction {}

    /**
     * Checkpoints a task and stops it; it is placed again elsewhere.
     *
     * @param task the task
     * @param vm its VM
     */
    record Evict(TaskId task, VmId vm) implements InterferenceAction {}
}
