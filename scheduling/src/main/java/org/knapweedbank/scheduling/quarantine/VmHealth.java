package org.knapweedbank.scheduling.quarantine;

/** Health of a VM as derived from failed tasks. */
public enum VmHealth {
    /** The VM accepts tasks. */
    HEALTHY,
    /** The VM accepts no tasks. */
    QUARANTINED,
    /** The VM accepts a single probe task, whose result decides between the other states. */
    RETEST
}
