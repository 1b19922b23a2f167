package org.knapweedbank.store.claim;

/**
 * A claim on a key by one attempt.
 *
 * @param storeKey key in the store
 * @param attemptId the attempt
 * @param agent agent recorded with the claim, or empty
 * @param atMillis wall time of the claim in milliseconds since 1970
 */
public record Claim(String storeKey, String attemptId, String agent, long atMillis) {}
