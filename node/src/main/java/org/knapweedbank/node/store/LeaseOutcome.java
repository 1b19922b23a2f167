package org.knapweedbank.node.store;

/** Outcome of opening, renewing or ending a lease. */
public sealed interface LeaseOutcome {
    /**
     * The lease is open.
     *
     * @param lease identifier of the lease
     */
    record Held(long lease) implements LeaseOutcome {}

    /** The lease no longer exists. */
    record Ended() implements LeaseOutcome {}

    /**
     * The store gave no usable answer.
     *
     * @param reason cause for the log
     */
    record Unavailable(String reason) implements LeaseOutcome {}
}
