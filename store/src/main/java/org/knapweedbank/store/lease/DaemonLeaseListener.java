package org.knapweedbank.store.lease;

/** Told about the store lease of a daemon. Calls come from one thread at a time. */
public interface DaemonLeaseListener {
    /**
     * The lease is held and the daemon is registered under it.
     *
     * @param leaseId the lease
     */
    void held(long leaseId);

    /**
     * The lease has ended or may end soon. Everything that depends on it stops now.
     *
     * @param leaseId the lease
     */
    void lost(long leaseId);
}
