package org.knapweedbank.faults.request;

/** A defect that the harness puts around the request classes. */
public enum RequestMutant {
    /** A request that is not idempotent is treated as one that is. */
    NON_IDEMPOTENT_RETRIED,
    /** The agent answers "not run" where it does not know. */
    NOT_RUN_AFTER_SENDING,
    /** The counts at the end of an answer match whatever has arrived. */
    COUNTS_IGNORED,
    /** Answers go to the oldest open request of the connection. */
    ANSWERS_MATCHED_BY_ORDER,
    /** Each copy of a request gets an attempt id of its own at the agent. */
    DUPLICATES_NOT_SUPPRESSED,
    /** A key that is claimed already counts as granted. */
    CLAIM_IGNORED,
    /** The claim is released after an unknown outcome. */
    CLAIM_RELEASED_AFTER_UNKNOWN,
    /** Neither the agent nor the entries take notice that an upstream leaves. */
    LEAVING_IGNORED,
    /** A stop breaks streams off instead of moving them. */
    STREAMS_CUT_AT_STOP,
    /** A stop ends the agent at once. */
    REQUESTS_CUT_AT_STOP
}
