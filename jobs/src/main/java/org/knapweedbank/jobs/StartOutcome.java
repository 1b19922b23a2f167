package org.knapweedbank.jobs;

/** Outcome of a start order. */
public enum StartOutcome {
    /** The run has started. */
    STARTED,
    /** The VM refused the run, which will not start. */
    REFUSED,
    /** The run has not started and can no longer start. */
    NOT_STARTED,
    /**
     * The agent has not passed the order on, for example because its permit was outdated or the
     * worker was draining.
     */
    NOT_PERMITTED
}
