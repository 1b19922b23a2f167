package org.knapweedbank.soak;

/**
 * Fault and its time.
 *
 * @param atMillis time since the start of the load
 * @param fault the fault
 */
record PlannedFault(long atMillis, Fault fault) {}
