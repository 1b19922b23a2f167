package org.knapweedbank.scheduling.quarantine;

/** Judgement about a worker. */
public enum VmHealth {
    /** The worker takes tasks. */
    HEALTHY,
    /** The worker takes no tasks. */
    QUARANTINED,
    /** The worker takes one task, whose end decides. */
    RETEST
}
