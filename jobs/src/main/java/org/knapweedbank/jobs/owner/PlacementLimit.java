package org.knapweedbank.jobs.owner;

/**
 * What prevents the placement of a task on a VM, ordered by how close the VM comes to taking the
 * task.
 */
enum PlacementLimit {
    /** The VM could take the task. */
    NONE,

    /** The task would interfere too much with the serving tasks of the VM. */
    DISTURBANCE,

    /** The VM has too little available processor time for a filler. */
    SPARE_CPU,

    /** The VM keeps the resources for a more urgent task. */
    HELD,

    /** The VM is suspected to fail its tasks, and does not take this one as a trial yet. */
    SUSPECTED,

    /** The VM has just refused a start order of the task, or those of several tasks. */
    REFUSED,

    /** The reservation of the task does not fit. */
    RESERVATION,

    /** The VM lacks the required label, or already has the maximum number of tasks of the step. */
    RULE
}
