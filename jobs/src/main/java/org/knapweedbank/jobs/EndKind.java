package org.knapweedbank.jobs;

/** How a run of a task ended. */
public enum EndKind {
    /** The task finished its work. */
    DONE,
    /** The task failed; this uses up an attempt. */
    FAILED,
    /** The run was stopped by an order. */
    STOPPED,
    /** The lease of the VM expired. */
    LAPSED,
    /** Another member of the gang ended. */
    BROKEN,
    /** The other members of the gang did not come in time. */
    ALONE
}
