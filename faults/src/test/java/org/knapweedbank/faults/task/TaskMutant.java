package org.knapweedbank.faults.task;

/** A defect that the harness puts around the decision classes; each has to break an invariant. */
public enum TaskMutant {
    /** A report counts for the present attempt, whichever attempt it names. */
    ATTEMPT_CHECK_DROPPED,
    /** The owner believes in twice the capacity, and the agent does not check. */
    CAPACITY_CHECK_SKIPPED,
    /** The agent takes each session and command for one of its own epoch. */
    LOWER_EPOCH_ACCEPTED,
    /** The end of an attempt is acknowledged when its report arrives. */
    END_ACKNOWLEDGED_BEFORE_COMMIT,
    /** The owner waits for a tenth of the time that the leases last. */
    PLACED_BEFORE_LEASES_END,
    /** Each start arrives with a permit that is valid now. */
    START_PERMIT_IGNORED,
    /** Effects leave the owner before their record is in the store. */
    EFFECTS_BEFORE_COMMIT,
    /** The agent's session never ends, whether or not its heartbeats are acknowledged. */
    SESSION_END_IGNORED
}
