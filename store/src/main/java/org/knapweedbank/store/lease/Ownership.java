package org.knapweedbank.store.lease;

/**
 * Ownership of a partition as recorded in the store.
 *
 * @param partition number of the partition
 * @param epoch epoch of this ownership, which grows with each change of owner
 * @param epochRevision modification revision of the epoch key; journal writes are conditional on it
 * @param ownerId identifier of the entry that owns the partition
 * @param ownerAddress HOST:PORT on which the owner accepts connections of other daemons
 */
public record Ownership(
        int partition, long epoch, long epochRevision, String ownerId, String ownerAddress) {}
