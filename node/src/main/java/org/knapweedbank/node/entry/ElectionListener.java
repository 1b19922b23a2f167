package org.knapweedbank.node.entry;

import org.knapweedbank.jobs.owner.Takeover;
import org.knapweedbank.time.Timestamp;

/** Receives changes of the ownership. */
interface ElectionListener {
    /**
     * This entry has become the owner. Its writes must be conditional on the given revision of the
     * term key.
     */
    void elected(Takeover takeover, long termRevision);

    /**
     * While this entry is the owner of a term, the store has shown that no owner of an earlier term
     * answers an agent after a monotonic time in milliseconds, which may have passed.
     */
    void earlierOwnersLimited(long term, long untilMillis);

    /** This entry's term was still the newest when the store was asked at the given moment. */
    void termConfirmed(long term, Timestamp askedAt);

    /** This entry has lost the ownership to a later term. */
    void deposed(long newerTerm);

    /** Another entry is the owner. */
    void ownerFound(String address, long term);
}
