package org.knapweedbank.node.entry;

import java.time.Duration;

/**
 * Owner of the term before a claim, as the claiming entry saw it.
 *
 * @param lastOwner its record
 * @param termRevision revision at which its term was written
 * @param seenAtMillis monotonic time in milliseconds at which this entry first saw the term
 */
record FormerOwner(LastOwnerRecord lastOwner, long termRevision, long seenAtMillis) {
    /**
     * Returns whether the process of the owner has ended: another one has registered since under
     * its name and at its address, which only one process at a time can listen on.
     */
    boolean hasEnded(MembershipView view) {
        OwnerRecord owner = lastOwner.owner();
        return view.entryRevision(owner.entry()) > termRevision
                && view.entry(owner.entry())
                        .filter(entry -> entry.address().equals(owner.address()))
                        .filter(entry -> entry.processStartMillis() > owner.processStartMillis())
                        .isPresent();
    }

    /**
     * Returns the monotonic time in milliseconds until which the owners before it may be confirmed.
     * It had replaced them when its term was seen, but for those that other entries may have
     * confirmed after that.
     */
    long predecessorsConfirmableUntil() {
        return seenAtMillis + lastOwner.predecessorsConfirmable().toMillis();
    }

    /**
     * Returns the monotonic time in milliseconds after which neither it nor an owner before it
     * answers an agent.
     *
     * @param endedAtMillis time at which its process was known to have ended
     * @param renewalAuthority how long an owner acts on a confirmation
     */
    long answersUntil(long endedAtMillis, Duration renewalAuthority) {
        return Math.max(
                endedAtMillis, predecessorsConfirmableUntil() + renewalAuthority.toMillis());
    }
}
