package org.knapweedbank.node.entry;

/** Receives changes of the ownership. */
interface ElectionListener {
    /**
     * This entry has become the owner. Its writes must be conditional on the given revision of the
     * term key.
     */
    void elected(long term, long termRevision);

    /** The store has confirmed that this entry's term is still the newest. */
    void termConfirmed(long term);

    /** This entry has lost the ownership to a later term. */
    void deposed(long newerTerm);

    /** Another entry is the owner. */
    void ownerFound(String address, long term);
}
