package org.knapweedbank.jobs.owner;

/** Runs that take room by the owner's records, though their worker may not need it any more. */
enum UnreleasedRuns {
    /**
     * Runs that the worker does not list: their start orders are unanswered, or they are absent
     * from its newest lists and not released yet.
     */
    UNLISTED_RUNS,

    /** Runs that were told to stop and have not ended. */
    STOPPING_RUNS
}
