package org.knapweedbank.wire;

/** State of an attempt as reported by an agent. */
public enum TaskReportState {
    /** The agent refused the start; the attempt has not run and never will. */
    NOT_STARTED,
    /** The attempt runs. */
    RUNNING,
    /** The attempt is writing its checkpoint. */
    CHECKPOINTING,
    /** The attempt wrote a checkpoint and has ended; the detail is its reference. */
    CHECKPOINTED,
    /** The attempt completed its work. */
    FINISHED,
    /** The attempt ended with an error. */
    FAILED,
    /** The attempt was stopped without a checkpoint, on request or as its lease expired. */
    STOPPED;

    /**
     * Tells whether the attempt has ended and holds no resources.
     *
     * @return true unless it runs or writes a checkpoint
     */
    public boolean ended() {
        return this != RUNNING && this != CHECKPOINTING;
    }
}
