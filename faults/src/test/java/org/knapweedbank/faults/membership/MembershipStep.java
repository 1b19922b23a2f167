package org.knapweedbank.faults.membership;

/** Points of the announcement of an upstream, up to the table of each entry. */
public enum MembershipStep {
    ANNOUNCED,
    HEARTBEAT_SENT,
    HEARTBEAT_ACKNOWLEDGED,
    DELTA_SENT,
    ENTRY_LEARNS,
    LEAVING_ANNOUNCED,
    BACK_ANNOUNCED,
    ANNOUNCEMENT_LAPSES,
    AGENT_RESTARTED,
    OWNER_TAKEOVER,
    /** A former owner, apart from the present one, still sends the upstreams that it knows. */
    FORMER_OWNER_SNAPSHOT
}
