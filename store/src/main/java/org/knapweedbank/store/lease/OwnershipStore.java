package org.knapweedbank.store.lease;

import io.smallrye.mutiny.Uni;
import java.util.Optional;
import org.knapweedbank.store.StoreResult;

/** Acquires and releases the ownership of partitions by compare-and-swap in the store. */
public interface OwnershipStore {
    /**
     * Tries to acquire a partition that has no owner, and increments its epoch in the same
     * transaction. If the outcome is unknown, the keys are read back before the result is reported;
     * the result is {@link StoreResult.Unknown} only if that read fails as well.
     *
     * @param partition number of the partition
     * @param ownerId identifier of the entry
     * @param ownerAddress HOST:PORT on which the entry accepts connections of other daemons
     * @param leaseId store lease of the entry, with whose end the owner key is deleted
     * @return the ownership, or empty if another entry owns the partition
     */
    Uni<StoreResult<Optional<Ownership>>> acquire(
            int partition, String ownerId, String ownerAddress, long leaseId);

    /**
     * Releases a partition, so that another entry can acquire it immediately. Has no effect if the
     * ownership is no longer current.
     *
     * @param ownership the ownership
     * @return true if the ownership was current
     */
    Uni<StoreResult<Boolean>> release(Ownership ownership);
}
