package org.knapweedbank.node.store;

/** Outcome of a call on a lease. */
public sealed interface LeaseOutcome {
    /**
     * The lease holds.
     *
     * @param lease the lease
     */
    record Held(long lease) implements LeaseOutcome {}

    /** There is no such lease any more. */
    record Ended() implements LeaseOutcome {}

    /**
     * The store gave no usable answer.
     *
     * @param reason cause for the log
     */
    record Unavailable(String reason) implements LeaseOutcome {}
}
