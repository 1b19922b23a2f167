package org.knapweedbank.store.lease;

/**
 * Ownership of a partition as recorded in the store.
 *
 * @param partition the partition
 * @param epoch epoch of this ownership; grows with each change of owner
 * @param epochRevision modification revision of the epoch key; guards journal writes
 * @param ownerId identifier of the entry that owns the partition
 * @param ownerAddress HOST:PORT of its frame listener
 */
public record Ownership(
        int partition, long epoch, long epochRevision, String ownerId, String ownerAddress) {}
