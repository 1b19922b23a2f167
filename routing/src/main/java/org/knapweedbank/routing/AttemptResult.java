package org.knapweedbank.routing;

/** Result of an attempt, used to judge the health of the upstream. */
public enum AttemptResult {
    /** The upstream sent a complete answer with a status below 500. */
    ANSWERED,
    /** The upstream sent a complete answer with a status of 500 or more. */
    ERROR_ANSWER,
    /**
     * The agent refused the request because it was busy, was leaving or received the request too
     * late. This does not count against the upstream.
     */
    REFUSED,
    /**
     * The request could not be sent, the connection broke, the answer was truncated or the upstream
     * did not answer.
     */
    FAILED,
    /**
     * The entry cancelled the attempt, because another attempt was answered first, the deadline
     * passed or the caller disconnected.
     */
    CANCELLED;

    /**
     * Returns whether the result counts as a failure of the upstream.
     *
     * @return true for {@link #ERROR_ANSWER} and {@link #FAILED}
     */
    public boolean isFailure() {
        return this == ERROR_ANSWER || this == FAILED;
    }
}
