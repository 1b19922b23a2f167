package org.knapweedbank.routing;

/** How an attempt at an upstream ended, as far as the choice of upstreams is concerned. */
public enum AttemptResult {
    /** A complete answer with a status below 500. */
    ANSWERED,
    /** A complete answer with a status of 500 or more. */
    ERROR_ANSWER,
    /** The agent refused the request as busy, leaving or late; says nothing about its health. */
    REFUSED,
    /** The request could not be sent, the connection broke, or the answer was truncated. */
    FAILED,
    /** The entry gave the attempt up: another attempt won, or the caller has gone. */
    CANCELLED;

    /**
     * Tells whether the result counts against the upstream.
     *
     * @return true for failures
     */
    public boolean failure() {
        return this == ERROR_ANSWER || this == FAILED;
    }
}
