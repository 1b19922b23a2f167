package org.knapweedbank.node.entry;

/**
 * Fault that the explorer injects.
 *
 * @param atMillis virtual time in milliseconds since the first submission
 * @param kind kind of the fault
 * @param vm index of the VM that it hits
 * @param lengthMillis duration of the fault in milliseconds
 * @param seed seed of the draws that belong to this fault alone, so that it acts the same after
 *     other faults have been dropped
 */
record FaultEvent(long atMillis, FaultKind kind, int vm, int lengthMillis, long seed) {}
