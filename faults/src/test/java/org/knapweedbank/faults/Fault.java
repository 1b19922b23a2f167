package org.knapweedbank.faults;

/** What goes wrong at a step. The seed of a cell chooses the part that is hit and the duration. */
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
