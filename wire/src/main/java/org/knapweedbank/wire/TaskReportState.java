package org.knapweedbank.wire;

/** State of an attempt as reported by an agent. */
public enum TaskReportState {
    /** The agent rejected the start; the attempt has not run and will not run. */
    NOT_STARTED,
    /** The attempt is running. */
    RUNNING,
    /** The attempt is writing its checkpoint. */
    CHECKPOINTING,
    /** The attempt has written a checkpoint and ended; the detail refers to the checkpoint. */
    CHECKPOINTED,
    /** The attempt has completed successfully. */
    FINISHED,
    /** The attempt has ended with an error. */
    FAILED,
    /** The attempt was stopped without a checkpoint, on request or because its lease expired. */
    STOPPED;

    /**
     * Returns whether the attempt has ended and holds no resources.
     *
     * @return false if the attempt is running or writing a checkpoint
     */
    public boolean hasEnded() {
        return this != RUNNING && this != CHECKPOINTING;
    }
}
