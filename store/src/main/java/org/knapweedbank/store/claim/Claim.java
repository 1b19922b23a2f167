package org.knapweedbank.store.claim;

/**
 * Claim of an idempotency key by one attempt.
 *
 * @param storeKey key of the claim in the store
 * @param attemptId identifier of the attempt
 * @param agent agent recorded with the claim, or empty
 * @param atMillis wall-clock time of the claim in milliseconds since 1970
 */
public record Claim(String storeKey, String attemptId, String agent, long atMillis) {}
