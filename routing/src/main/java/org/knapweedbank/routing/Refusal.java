package org.knapweedbank.routing;

/** Reason why a request is refused instead of being answered by an upstream. */
public enum Refusal {
    /** No upstream is available. */
    NO_UPSTREAM(503),
    /** All upstreams that were tried are busy or leaving. */
    BUSY(503),
    /** The deadline has passed. */
    DEADLINE(504),
    /** The store is not available to claim the idempotency key. */
    STORE_UNAVAILABLE(503),
    /** The idempotency key has been used and the recorded answer is not available. */
    KEY_USED(409),
    /**
     * The connection broke, the answer was truncated, or the agent does not know whether the
     * request has run.
     */
    UPSTREAM_FAILED(502);

    private final int mStatus;

    Refusal(int status) {
        mStatus = status;
    }

    /**
     * Returns the HTTP status code of the refusal.
     *
     * @return the status code
     */
    public int status() {
        return mStatus;
    }
}
