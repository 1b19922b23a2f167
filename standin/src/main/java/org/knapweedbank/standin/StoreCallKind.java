package org.knapweedbank.standin;

/** Kinds of calls that the key-value service counts. */
public enum StoreCallKind {
    /** A read of a key or a range, or a transaction that only reads. */
    READ,
    /** A transaction that may write. */
    WRITE,
    /** A grant of a lease. */
    LEASE_GRANT,
    /** An extension of a lease. */
    KEEP_ALIVE,
    /** A revocation of a lease. */
    REVOKE,
    /** Opening of a watch, which counts as one call for as long as it waits. */
    WATCH
}
