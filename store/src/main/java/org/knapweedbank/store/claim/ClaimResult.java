package org.knapweedbank.store.claim;

/** Result of a claim. */
public sealed interface ClaimResult {
    /**
     * The attempt holds the key and may send the request, once.
     *
     * @param claim the claim, for its release
     */
    record Granted(Claim claim) implements ClaimResult {}

    /**
     * An earlier attempt holds the key; this one must not send the request.
     *
     * @param attemptId the earlier attempt
     * @param agent agent recorded with it, which may have its answer, or empty
     * @param state state of the earlier attempt
     */
    record AlreadyClaimed(String attemptId, String agent, ClaimState state)
            implements ClaimResult {}

    /**
     * The key is certainly not claimed by this attempt.
     *
     * @param reason what failed
     */
    record Unavailable(String reason) implements ClaimResult {}

    /**
     * The key may be claimed by this attempt, or may still become so. The request must not be sent.
     * It has not run, so the claim should be released.
     *
     * @param claim the claim that may exist, for its release
     * @param reason what failed
     */
    record Unknown(Claim claim, String reason) implements ClaimResult {}
}
