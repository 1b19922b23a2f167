package org.knapweedbank.faults;

/**
 * Faults that a cell of the fault matrix injects at a step. The seed of the cell selects the
 * affected component and the duration.
 */
public enum Fault {
    NONE,
    PROCESS_KILLED,
    PROCESS_PAUSED,
    STORE_DOWN,
    STORE_SLOW,
    ANSWER_LOST,
    MESSAGE_LOST,
    MESSAGE_DOUBLED,
    MESSAGE_LATE,
    MESSAGES_REORDERED,
    NETWORK_CUT_ONE_WAY,
    NETWORK_CUT,
    CLOCK_DRIFT,
    OPERATORS_RACE,
    VM_GONE,
    WORKER_FAILS_EVERYTHING,
    CANCELLATION
}
