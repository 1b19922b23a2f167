package org.knapweedbank.bench.quickstart;

/**
 * Outcome of one HTTP request as its caller sees it.
 *
 * @param token token by which the request is identified in the records of the upstreams
 * @param kind kind of the outcome
 * @param startMillis wall time at which the request was sent
 * @param endMillis wall time at which the outcome was known
 * @param detail status and reason for the log
 */
record CallOutcome(String token, Kind kind, long startMillis, long endMillis, String detail) {
    /** Kinds of outcomes. */
    enum Kind {
        /** A complete answer to this request. */
        ANSWERED,
        /** The answer belongs to another request or has other content. */
        WRONG,
        /** An incomplete answer that was presented as complete. */
        TRUNCATED,
        /** Refused as not executed. */
        NOT_RUN,
        /** Refused with an unknown outcome. */
        UNKNOWN,
        /** The connection broke, so the outcome is unknown. */
        BROKEN
    }
}
