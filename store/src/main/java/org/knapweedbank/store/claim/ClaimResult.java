package org.knapweedbank.store.claim;

/** Result of claiming an idempotency key. */
public sealed interface ClaimResult {
    /**
     * The attempt holds the key and may send the request once.
     *
     * @param claim the claim, with which it can be released
     */
    record Granted(Claim claim) implements ClaimResult {}

    /**
     * An earlier attempt holds the key. This attempt must not send the request.
     *
     * @param attemptId identifier of the earlier attempt
     * @param agent agent recorded with the earlier attempt, which may hold its response, or empty
     * @param state state of the earlier claim
     */
    record AlreadyClaimed(String attemptId, String agent, ClaimState state)
            implements ClaimResult {}

    /**
     * It is certain that this attempt does not hold the key.
     *
     * @param reason what failed
     */
    record Unavailable(String reason) implements ClaimResult {}

    /**
     * This attempt may hold the key, or the claim may still take effect later. The request must not
     * be sent. Since it has not run, the claim should be released.
     *
     * @param claim the claim that may exist, with which it can be released
     * @param reason what failed
     */
    record Unknown(Claim claim, String reason) implements ClaimResult {}
}
