package org.knapweedbank.node.entry;

/** Receives the outcome of elections. */
interface ElectionListener {
    /** This entry is the owner of a new term; its writes are guarded by the given revision. */
    void elected(long term, long termRevision);

    /** The store has confirmed that the present term is the newest. */
    void termConfirmed(long term);

    /** A term later than that of this entry has begun. */
    void deposed(long newerTerm);

    /** Another entry is the owner of a term. */
    void ownerFound(String address, long term);
}
