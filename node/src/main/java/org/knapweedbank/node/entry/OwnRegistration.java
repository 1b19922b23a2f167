package org.knapweedbank.node.entry;

/**
 * Registration of this entry that the store has acknowledged.
 *
 * @param revision revision of the entry's key
 * @param atMillis monotonic time in milliseconds of the acknowledgement
 */
record OwnRegistration(long revision, long atMillis) {}
