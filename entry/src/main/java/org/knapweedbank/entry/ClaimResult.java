package org.knapweedbank.entry;

/** Result of the claim of an idempotency key. */
public sealed interface ClaimResult {
    /** The key is claimed for this attempt. */
    record Granted() implements ClaimResult {}

    /**
     * The key was claimed before.
     *
     * @param agent agent that got the earlier request, or empty if not known
     * @param attemptId attempt id of the earlier request
     */
    record Held(String agent, String attemptId) implements ClaimResult {}

    /**
     * The key is not claimed.
     *
     * @param reason short reason
     */
    record Unavailable(String reason) implements ClaimResult {}

    /**
     * The key may be claimed for this attempt.
     *
     * @param reason short reason
     */
    record Unknown(String reason) implements ClaimResult {}
}
