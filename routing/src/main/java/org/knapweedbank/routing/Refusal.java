package org.knapweedbank.routing;

/** Why a request ends without the upstream's answer. */
public enum Refusal {
    /** No upstream can take the request. */
    NO_UPSTREAM(503),
    /** The upstreams tried were busy or leaving. */
    BUSY(503),
    /** The deadline passed. */
    DEADLINE(504),
    /** The store cannot be asked for the claim of the key. */
    STORE_UNAVAILABLE(503),
    /** The key has been used and the recorded answer is not available. */
    KEY_USED(409),
    /** The connection broke, the answer was truncated or the agent does not know the outcome. */
    UPSTREAM_FAILED(502);

    private final int mStatus;

    Refusal(int status) {
        mStatus = status;
    }

    /**
     * HTTP status of the refusal.
     *
     * @return the status
     */
    public int status() {
        return mStatus;
    }
}
