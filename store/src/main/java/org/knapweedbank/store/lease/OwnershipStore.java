package org.knapweedbank.store.lease;

import io.smallrye.mutiny.Uni;
import java.util.Optional;
import org.knapweedbank.store.StoreResult;

/** Ownership of partitions, decided by compare-and-swap in the store. */
public interface OwnershipStore {
    /**
     * Tries to become the owner of a partition that has none. Raises the epoch in the same
     * transaction. An unknown outcome is resolved by reading back before this returns, if the store
     * answers.
     *
     * @param partition the partition
     * @param ownerId identifier of the entry
     * @param ownerAddress HOST:PORT of its frame listener
     * @param leaseId store lease of the entry, under which the owner key is put
     * @return the ownership, or empty when another entry owns the partition
     */
    Uni<StoreResult<Optional<Ownership>>> acquire(
            int partition, String ownerId, String ownerAddress, long leaseId);

    /**
     * Gives up a partition, so that another entry can take it at once. No effect if the ownership
     * is no longer current.
     *
     * @param ownership the ownership
     * @return true if it was current
     */
    Uni<StoreResult<Boolean>> release(Ownership ownership);
}
