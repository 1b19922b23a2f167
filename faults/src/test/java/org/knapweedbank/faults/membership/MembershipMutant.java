package org.knapweedbank.faults.membership;

/** A defect that the harness puts around the membership classes. */
public enum MembershipMutant {
    /** Each record counts as newer than the one known. */
    OLDER_RECORD_ACCEPTED,
    /** A changed upstream goes into one heartbeat only. */
    CHANGE_NOT_REPEATED,
    /** Entries take deltas of a former owner of the partition. */
    FORMER_OWNER_ACCEPTED
}
