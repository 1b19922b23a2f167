package org.knapweedbank.faults.membership;

/**
 * Defects that the harness builds around the membership classes; each has to break an invariant.
 */
public enum MembershipMutant {
    /** Treats each record as newer than the known one. */
    OLDER_RECORD_ACCEPTED,
    /** Sends a changed upstream in a single heartbeat, even if that is lost. */
    CHANGE_NOT_REPEATED,
    /** Entries accept deltas of a former owner of the partition. */
    FORMER_OWNER_ACCEPTED
}
