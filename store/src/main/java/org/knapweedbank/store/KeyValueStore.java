package org.knapweedbank.store;

import io.smallrye.mutiny.Uni;
import java.time.Duration;

/**
 * Client of the platform's key-value service. Each method makes one call to the service. Failures
 * of the service or the network are reported as {@link StoreResult} items; they never fail the
 * {@code Uni}.
 */
public interface KeyValueStore extends AutoCloseable {
    /**
     * Reads one key.
     *
     * @param key the key
     * @return the entry; {@link StoreResult.Succeeded} with an empty list if the key is absent
     */
    Uni<StoreResult<KeyRange>> get(String key);

    /**
     * Reads the keys with a prefix in ascending order.
     *
     * @param prefix the prefix
     * @param limit maximum number of entries
     * @return the entries; {@link KeyRange#hasMore()} is true if some were left out
     */
    Uni<StoreResult<KeyRange>> range(String prefix, int limit);

    /**
     * Reads the keys from {@code from} up to the last key with a prefix, in ascending order. Used
     * to read a prefix in pages.
     *
     * @param prefix the prefix
     * @param from first key, inclusive
     * @param limit maximum number of entries
     * @return the entries
     */
    Uni<StoreResult<KeyRange>> rangeFrom(String prefix, String from, int limit);

    /**
     * Runs a transaction atomically.
     *
     * @param transaction conditions and operations
     * @return whether the conditions held, with the results of the operations that ran; {@link
     *     StoreResult.Unknown} if no response arrived and the transaction may have taken effect
     */
    Uni<StoreResult<TransactionResult>> transact(Transaction transaction);

    /**
     * Requests a new lease. Keys written with the lease are deleted when it expires.
     *
     * @param ttl time to live
     * @return identifier of the lease
     */
    Uni<StoreResult<Long>> grantLease(Duration ttl);

    /**
     * Renews a lease for its full time to live.
     *
     * @param leaseId identifier of the lease
     * @return true if the lease is still held, false if it has expired
     */
    Uni<StoreResult<Boolean>> keepAlive(long leaseId);

    /**
     * Revokes a lease, which deletes its keys.
     *
     * @param leaseId identifier of the lease
     * @return true if the lease was still held
     */
    Uni<StoreResult<Boolean>> revoke(long leaseId);

    /**
     * Watches the keys with a prefix. The watch counts as one call while it is open.
     *
     * @param prefix the prefix
     * @param fromRevision first revision to report, or 0 to report changes from now on
     * @param listener receives the events in order of revision
     * @return the watch; no events are reported after it has been closed
     */
    StoreWatch watch(String prefix, long fromRevision, WatchListener listener);

    @Override
    void close();
}
