package org.knapweedbank.jobs.owner;

/** What keeps a task from a VM, the nearest to a start first. */
enum PlacementLimit {
    /** The VM could take the task. */
    NONE,

    /** The task would disturb the serving tasks of the VM too much. */
    DISTURBANCE,

    /** Too little processor time is left over for a filler. */
    SPARE_CPU,

    /** Its reservation does not fit. */
    RESERVATION,

    /** The VM lacks a label, or has as many tasks of the step as are allowed. */
    RULE
}
