package org.knapweedbank.control;

/** Phase of a task in a snapshot. */
public enum TaskPhase {
    /** The task waits for a VM. */
    PENDING,
    /** An attempt was placed and has not ended. */
    PLACED,
    /** An attempt was placed and has not ended; the task will not run again after it. */
    CANCELLING,
    /** The task has completed its work. */
    FINISHED,
    /** The task has failed for good. */
    FAILED,
    /** The task was cancelled and holds no VM. */
    CANCELLED
}
