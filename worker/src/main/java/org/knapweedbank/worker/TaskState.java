package org.knapweedbank.worker;

/** Lifecycle state of an attempt on its worker. */
public enum TaskState {
    /** The attempt is running. */
    RUNNING,
    /** The attempt is writing its checkpoint. */
    CHECKPOINTING,
    /** The attempt has written its checkpoint and has ended. */
    CHECKPOINTED,
    /** The attempt has completed its work. */
    FINISHED,
    /** The attempt has failed. */
    FAILED,
    /** The attempt was stopped on request. */
    STOPPED,
    /** The worker stopped the attempt because its lease expired. */
    EXPIRED;

    /**
     * Tells whether this is a terminal state, in which the attempt holds no resources.
     *
     * @return false for {@link #RUNNING} and {@link #CHECKPOINTING}, true for all others
     */
    public boolean ended() {
        return this != RUNNING && this != CHECKPOINTING;
    }
}
