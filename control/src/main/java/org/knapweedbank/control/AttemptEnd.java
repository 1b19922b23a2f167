package org.knapweedbank.control;

/** How an attempt of a task ended. */
public enum AttemptEnd {
    /** The attempt completed the work of the task. */
    FINISHED,
    /** The attempt failed and counts towards the maximum number of attempts of the job. */
    FAILED,
    /** The attempt wrote a checkpoint and stopped; the next attempt resumes from the checkpoint. */
    CHECKPOINTED,
    /** The attempt was stopped without a checkpoint. */
    STOPPED,
    /** The attempt never ran. */
    NOT_STARTED,
    /** The VM lost the attempt, or all leases of the VM have ended. */
    LOST
}
