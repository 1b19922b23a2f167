package org.knapweedbank.store.claim;

/**
 * Request for an idempotency key.
 *
 * @param service service of the request
 * @param idempotencyKey key given by the caller
 * @param attemptId identifier of this attempt, unique over all entries and restarts
 * @param agent identifier of the agent that is to get the request, or empty if not chosen yet
 */
public record ClaimRequest(String service, String idempotencyKey, String attemptId, String agent) {}
