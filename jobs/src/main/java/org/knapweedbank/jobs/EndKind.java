package org.knapweedbank.jobs;

/** How a run of a task ended. */
public enum EndKind {
    /** The task finished its work. */
    DONE,
    /** The task failed, which counts against the attempts that its queue allows. */
    FAILED,
    /** The run was stopped by a stop order. */
    STOPPED,
    /** The lease for the runs on the VM expired. */
    LAPSED,
    /** Another task of the same gang ended. */
    BROKEN,
    /** The other tasks of the gang did not join in time. */
    ALONE
}
