package org.knapweedbank.faults.request;

/** Defects that the harness builds around the request classes; each has to break an invariant. */
public enum RequestMutant {
    /** Treats a request that is not idempotent as idempotent. */
    NON_IDEMPOTENT_RETRIED,
    /** The agent answers "not run" although the outcome is unknown. */
    NOT_RUN_AFTER_SENDING,
    /** Replaces the counts at the end of an answer by the counts of what has arrived. */
    COUNTS_IGNORED,
    /** Assigns each answer to the oldest open request of the connection. */
    ANSWERS_MATCHED_BY_ORDER,
    /** Gives each copy of a request its own attempt id at the agent. */
    DUPLICATES_NOT_SUPPRESSED,
    /** Treats a key that is already claimed as granted. */
    CLAIM_IGNORED,
    /** Releases the claim after an unknown outcome. */
    CLAIM_RELEASED_AFTER_UNKNOWN,
    /** Hides from the agent, and so from the entries, that an upstream leaves. */
    LEAVING_IGNORED,
    /** Ends streams at a planned stop instead of moving them. */
    STREAMS_CUT_AT_STOP,
    /** Ends the agent at once at a planned stop, without waiting for open requests. */
    REQUESTS_CUT_AT_STOP
}
