package org.knapweedbank.node.store;

import java.time.Duration;
import java.util.function.Consumer;

/**
 * Key-value store with conditional changes, leases and watches. Each method answers exactly once,
 * on the thread of the process, and within a time limit of the implementation.
 */
public interface CoordinationStore {
    /**
     * Reads all items with a prefix.
     *
     * @param prefix the prefix
     * @param allowStale true if the answer may be some seconds old, which is cheaper
     * @param done receives the outcome
     */
    void read(String prefix, boolean allowStale, Consumer<ReadOutcome> done);

    /**
     * Waits for changes of items with a prefix.
     *
     * @param prefix the prefix
     * @param afterRevision revision after which changes are reported
     * @param maxWait longest time to wait for a change
     * @param done receives the outcome
     */
    void watch(String prefix, long afterRevision, Duration maxWait, Consumer<WatchOutcome> done);

    /**
     * Makes a change if its conditions hold.
     *
     * @param change the change
     * @param done receives the outcome
     */
    void write(StoreChange change, Consumer<WriteOutcome> done);

    /**
     * Opens a lease. The items put under it are removed when it ends.
     *
     * @param ttl time to live
     * @param done receives the outcome
     */
    void openLease(Duration ttl, Consumer<LeaseOutcome> done);

    /**
     * Renews a lease to its full time to live.
     *
     * @param lease the lease
     * @param done receives the outcome
     */
    void renewLease(long leaseId, Consumer<LeaseOutcome> done);

    /**
     * Ends a lease.
     *
     * @param lease the lease
     * @param done receives the outcome
     */
    void endLease(long leaseId, Consumer<LeaseOutcome> done);
}
