package org.knapweedbank.faults;

/**
 * Faults that a cell of the fault matrix injects at a step. The seed of the cell selects the
 * affected component and the duration.
 */
public enum Fault {
    /** No fault; the step passes undisturbed. */
    NONE,
    /** An entry or an agent ends and is restarted. */
    PROCESS_KILLED,
    /** An entry or an agent stops running for a time and then resumes. */
    PROCESS_PAUSED,
    /** The store does not respond for a time. */
    STORE_DOWN,
    /** The store responds late for a time. */
    STORE_SLOW,
    /** Some calls of the store or of a worker remain without an answer, with or without effect. */
    ANSWER_LOST,
    /** The next messages are lost. */
    MESSAGE_LOST,
    /** The next messages are delivered twice. */
    MESSAGE_DOUBLED,
    /** The next messages are delayed. */
    MESSAGE_LATE,
    /** The next messages are delayed and may be overtaken by later ones. */
    MESSAGES_REORDERED,
    /** Messages in one direction are lost for a time. */
    NETWORK_CUT_ONE_WAY,
    /** Messages in both directions are lost for a time. */
    NETWORK_CUT,
    /** The clocks run at different rates, from the start of the cell. */
    CLOCK_DRIFT,
    /** Two operators change the configuration at the same time. */
    OPERATORS_RACE,
    /** A VM ends for good, with its agent. */
    VM_GONE,
    /** The tasks of a worker, or the requests of an upstream, fail for a time. */
    WORKER_FAILS_EVERYTHING,
    /** The operator cancels the job, or the callers of all open requests disconnect. */
    CANCELLATION
}
