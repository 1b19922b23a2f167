package org.knapweedbank.jobs.reservation;

import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.model.DaemonId;

/** What a plan says about a waiting task. */
public sealed interface TaskPlan {
    /**
     * Returns the task.
     *
     * @return name of the task
     */
    TaskName task();

    /**
     * The task can start now.
     *
     * @param task the task
     * @param vm agent of the VM
     */
    record StartHere(TaskName task, DaemonId vm) implements TaskPlan {}

    /**
     * The task waits for a VM.
     *
     * @param task the task
     * @param vm agent of the VM
     * @param until expected start, in monotonic milliseconds
     */
    record WaitFor(TaskName task, DaemonId vm, long until) implements TaskPlan {}

    /**
     * No VM is expected to have room in time, or the step gets no reservation for some time.
     *
     * @param task the task
     */
    record NoRoom(TaskName task) implements TaskPlan {}
}
