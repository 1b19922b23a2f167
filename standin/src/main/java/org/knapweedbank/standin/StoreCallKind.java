package org.knapweedbank.standin;

/** Kinds of calls to the key-value store, by which calls are counted. */
public enum StoreCallKind {
    /** A read of a key or a range, or a read-only transaction. */
    READ,
    /** A transaction that may write. */
    WRITE,
    /** Grant of a lease. */
    LEASE_GRANT,
    /** Renewal of a lease. */
    KEEP_ALIVE,
    /** Revocation of a lease. */
    REVOKE,
    /** Opening of a watch, which counts as one call however long the watch stays open. */
    WATCH
}
