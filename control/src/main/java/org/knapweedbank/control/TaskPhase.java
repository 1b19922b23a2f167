package org.knapweedbank.control;

/** Phase of a task as stored in a journal snapshot. */
public enum TaskPhase {
    /** The task waits for placement on a VM. */
    PENDING,
    /** An attempt was placed on a VM and has not ended. */
    PLACED,
    /**
     * An attempt was placed on a VM and has not ended, and the task was cancelled: no further
     * attempt follows.
     */
    CANCELLING,
    /** The task has completed its work. */
    FINISHED,
    /** The task has failed permanently. */
    FAILED,
    /** The task was cancelled and holds no VM. */
    CANCELLED
}
