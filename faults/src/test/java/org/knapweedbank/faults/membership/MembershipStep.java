package org.knapweedbank.faults.membership;

/**
 * Steps of an upstream's announcement, up to the upstream table of each entry, at which faults are
 * injected.
 */
public enum MembershipStep {
    /** An upstream announces itself to its agent. */
    ANNOUNCED,
    /** An agent sends a heartbeat with its changed upstreams. */
    HEARTBEAT_SENT,
    /** The acknowledgement of a heartbeat arrives at the agent. */
    HEARTBEAT_ACKNOWLEDGED,
    /** An entry sends upstream records to the other entries. */
    DELTA_SENT,
    /** An entry has put an upstream record in its table. */
    ENTRY_LEARNS,
    /** An upstream announces that it leaves. */
    LEAVING_ANNOUNCED,
    /** An upstream that was leaving announces that it accepts requests again. */
    BACK_ANNOUNCED,
    /** An upstream stops announcing itself. */
    ANNOUNCEMENT_LAPSES,
    /** An agent has been restarted. */
    AGENT_RESTARTED,
    /** Another entry has taken over the partition. */
    OWNER_TAKEOVER,
    /**
     * A former owner, which the current owner does not reach, still sends its list of upstreams.
     */
    FORMER_OWNER_SNAPSHOT
}
