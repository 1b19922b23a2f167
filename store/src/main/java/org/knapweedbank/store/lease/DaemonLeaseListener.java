package org.knapweedbank.store.lease;

/** Notified when a daemon acquires or loses its store lease, by one thread at a time. */
public interface DaemonLeaseListener {
    /**
     * Called when the lease is held and the daemon is registered under it.
     *
     * @param leaseId identifier of the lease
     */
    void leaseAcquired(long leaseId);

    /**
     * Called when the lease has ended or may end soon. The daemon has to stop all work that depends
     * on the lease immediately.
     *
     * @param leaseId identifier of the lease
     */
    void leaseLost(long leaseId);
}
