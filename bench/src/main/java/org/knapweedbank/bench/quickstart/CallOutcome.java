package org.knapweedbank.bench.quickstart;

/**
 * What a caller learned about one HTTP request.
 *
 * @param token token that the request carried
 * @param kind how it ended
 * @param startMillis wall time of the start
 * @param endMillis wall time of the end
 * @param detail reason or status, for the log
 */
record CallOutcome(String token, Kind kind, long startMillis, long endMillis, String detail) {
    /** How a request ended. */
    enum Kind {
        /** Whole answer to this request. */
        ANSWERED,
        /** The answer belongs to another request or has other content. */
        WRONG,
        /** An answer that was presented as complete and is not. */
        TRUNCATED,
        /** Refused as not run. */
        NOT_RUN,
        /** Refused with an unknown outcome. */
        UNKNOWN,
        /** The connection broke, so the outcome is unknown. */
        BROKEN
    }
}
