package org.knapweedbank.jobs;

/** What became of a start order. */
public enum StartOutcome {
    /** The run has started. */
    STARTED,
    /** The run was refused and will not start. */
    REFUSED,
    /** Not carried out, and can't be any more. */
    NOT_STARTED,
    /** The agent held an outdated permit or the worker was draining; not carried out. */
    NOT_PERMITTED
}
