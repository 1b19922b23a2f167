package org.knapweedbank.worker;

/** State of an attempt on its worker. */
public enum TaskState {
    /** The attempt runs. */
    RUNNING,
    /** The attempt is writing its checkpoint. */
    CHECKPOINTING,
    /** The attempt wrote a checkpoint and has ended. */
    CHECKPOINTED,
    /** The attempt completed its work. */
    FINISHED,
    /** The attempt ended with an error. */
    FAILED,
    /** The attempt was stopped on request. */
    STOPPED,
    /** The attempt was stopped by the worker as its lease expired. */
    EXPIRED;

    /**
     * Tells whether the attempt has ended and holds no resources.
     *
     * @return true unless it runs or writes a checkpoint
     */
    public boolean ended() {
        return this != RUNNING && this != CHECKPOINTING;
    }
}
