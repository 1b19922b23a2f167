package org.knapweedbank.node.store;

import java.time.Duration;
import java.util.function.Consumer;

/**
 * Key-value store with conditional changes, leases and watches. Each method runs its callback
 * exactly once, on the event loop of the process and within a timeout of the implementation.
 */
public interface CoordinationStore {
    /**
     * Reads all items whose keys have a prefix.
     *
     * @param prefix prefix of the keys
     * @param allowStale true if the answer may be some seconds old, which costs the store less
     * @param done receives the outcome
     */
    void read(String prefix, boolean allowStale, Consumer<ReadOutcome> done);

    /**
     * Waits for changes of items whose keys have a prefix.
     *
     * @param prefix prefix of the keys
     * @param afterRevision revision after which changes are reported
     * @param maxWait maximum time to wait for a change
     * @param done receives the outcome
     */
    void watch(String prefix, long afterRevision, Duration maxWait, Consumer<WatchOutcome> done);

    /**
     * Applies a change atomically if all its conditions hold.
     *
     * @param change conditions, puts and removals
     * @param done receives the outcome
     */
    void write(StoreChange change, Consumer<WriteOutcome> done);

    /**
     * Opens a lease. The items attached to it are removed when it ends.
     *
     * @param ttl time to live
     * @param done receives the outcome
     */
    void openLease(Duration ttl, Consumer<LeaseOutcome> done);

    /**
     * Renews a lease to its full time to live.
     *
     * @param leaseId identifier of the lease
     * @param done receives the outcome
     */
    void renewLease(long leaseId, Consumer<LeaseOutcome> done);

    /**
     * Ends a lease and removes the items attached to it.
     *
     * @param leaseId identifier of the lease
     * @param done receives the outcome
     */
    void endLease(long leaseId, Consumer<LeaseOutcome> done);
}
