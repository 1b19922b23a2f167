package org.knapweedbank.soak;

/** Signals that the soak sends to processes, under the names of the kill command. */
enum ProcessSignal {
    TERM,
    KILL,
    STOP,
    CONT
}
