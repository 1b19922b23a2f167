package org.knapweedbank.jobs.reservation;

import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.model.DaemonId;

/**
 * Room on a VM that is kept for a waiting task.
 *
 * @param task the task
 * @param vm agent of the VM
 * @param madeAt monotonic time in milliseconds since when room is kept for the task
 * @param firstExpectedStart start that was expected when the reservation was made, in monotonic
 *     milliseconds
 * @param expectedStart start that is expected now, in monotonic milliseconds
 */
public record Reservation(
        TaskName task, DaemonId vm, long madeAt, long firstExpectedStart, long expectedStart) {}
