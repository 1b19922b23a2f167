package org.knapweedbank.store.claim;

/**
 * Request to claim an idempotency key for an attempt to run a caller's request.
 *
 * @param service service to which the caller's request is addressed
 * @param idempotencyKey idempotency key given by the caller
 * @param attemptId identifier of this attempt, unique over all entries and restarts
 * @param agent identifier of the agent to which the request will be sent, or empty if no agent has
 *     been chosen yet
 */
public record ClaimRequest(String service, String idempotencyKey, String attemptId, String agent) {}
