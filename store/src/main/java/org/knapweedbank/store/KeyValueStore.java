package org.knapweedbank.store;

import io.smallrye.mutiny.Uni;
import java.time.Duration;

/**
 * The platform's key-value service. Each method is one call to the service. A {@code Uni} never
 * fails for reasons of the service or the network: those are values of {@link StoreResult}.
 */
public interface KeyValueStore extends AutoCloseable {
    /**
     * Reads one key.
     *
     * @param key the key
     * @return the entry; {@link StoreResult.Succeeded} with an empty list when the key is absent
     */
    Uni<StoreResult<KeyRange>> get(String key);

    /**
     * Reads the keys with a prefix in ascending order.
     *
     * @param prefix the prefix
     * @param limit largest number of entries
     * @return the entries; {@link KeyRange#more()} tells whether some were left out
     */
    Uni<StoreResult<KeyRange>> range(String prefix, int limit);

    /**
     * Reads the keys in [{@code from}, end of {@code prefix}) in ascending order; for paging.
     *
     * @param prefix the prefix
     * @param from first key, inclusive
     * @param limit largest number of entries
     * @return the entries
     */
    Uni<StoreResult<KeyRange>> rangeFrom(String prefix, String from, int limit);

    /**
     * Runs a transaction atomically.
     *
     * @param transaction compares and operations
     * @return whether the compares held, with the results of the operations that ran; {@link
     *     StoreResult.Unknown} when it may have taken effect
     */
    Uni<StoreResult<TransactionResult>> transact(Transaction transaction);

    /**
     * Grants a lease. Keys put under it are deleted when it expires.
     *
     * @param ttl time to live
     * @return the lease id
     */
    Uni<StoreResult<Long>> grantLease(Duration ttl);

    /**
     * Extends a lease to its full time to live.
     *
     * @param leaseId the lease
     * @return true if the lease is still held, false if it has expired
     */
    Uni<StoreResult<Boolean>> keepAlive(long leaseId);

    /**
     * Ends a lease and deletes its keys.
     *
     * @param leaseId the lease
     * @return true if the lease was held
     */
    Uni<StoreResult<Boolean>> revoke(long leaseId);

    /**
     * Watches the keys with a prefix. The watch counts as one call for as long as it is open.
     *
     * @param prefix the prefix
     * @param fromRevision first revision to report, or 0 for changes from now on
     * @param listener receives events in order of revision
     * @return the watch; closing it ends the reports
     */
    StoreWatch watch(String prefix, long fromRevision, WatchListener listener);

    @Override
    void close();
}
