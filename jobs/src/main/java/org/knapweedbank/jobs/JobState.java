package org.knapweedbank.jobs;

/** State of a job as callers see it. */
public enum JobState {
    /** Accepted; no task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** All tasks have completed. */
    COMPLETED,
    /** A task has used up the attempts that its queue allows. */
    FAILED,
    /** Cancelled by the caller. */
    CANCELLED;

    /**
     * Returns whether the state is final.
     *
     * @return true if no task of the job will run any more
     */
    public boolean terminal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
