package org.knapweedbank.jobs;

/** State of a job as callers see it. */
public enum JobState {
    /** Accepted; no task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** All tasks have ended as done. */
    COMPLETED,
    /** A task has failed as often as its queue allows. */
    FAILED,
    /** Cancelled by the caller. */
    CANCELLED;

    /**
     * Tells whether the state is final.
     *
     * @return true if the job will not run any more
     */
    public boolean terminal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
