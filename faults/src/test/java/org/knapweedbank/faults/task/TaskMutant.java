package org.knapweedbank.faults.task;

/** Defects that the harness builds around the decision classes; each has to break an invariant. */
public enum TaskMutant {
    /** Applies each task report to the current attempt, whichever attempt it names. */
    ATTEMPT_CHECK_DROPPED,
    /** The owner assumes twice the capacity, and the agent does not check it. */
    CAPACITY_CHECK_SKIPPED,
    /** The agent accepts sessions and commands of any epoch as those of its own epoch. */
    LOWER_EPOCH_ACCEPTED,
    /** Acknowledges the end of an attempt when its report arrives. */
    END_ACKNOWLEDGED_BEFORE_COMMIT,
    /** The owner waits for only a tenth of the time that leases last. */
    PLACED_BEFORE_LEASES_END,
    /** Delivers each start with a permit that is valid at that time. */
    START_PERMIT_IGNORED,
    /** Lets effects leave the owner before their record is in the store. */
    EFFECTS_BEFORE_COMMIT,
    /** Keeps the agent's session open whether or not its heartbeats are acknowledged. */
    SESSION_END_IGNORED
}
