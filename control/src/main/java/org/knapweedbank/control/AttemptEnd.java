package org.knapweedbank.control;

/** How an attempt ended. */
public enum AttemptEnd {
    /** The work is complete. */
    FINISHED,
    /** The attempt failed; it counts against the task's attempts. */
    FAILED,
    /** The attempt wrote a checkpoint; the next one resumes from it. */
    CHECKPOINTED,
    /** The attempt was stopped without a checkpoint. */
    STOPPED,
    /** The attempt has never run. */
    NOT_STARTED,
    /** All leases of the VM that held the attempt have ended. */
    LOST
}
