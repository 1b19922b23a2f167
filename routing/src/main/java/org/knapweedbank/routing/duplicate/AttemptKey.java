package org.knapweedbank.routing.duplicate;

/**
 * Identity of an attempt, used to detect duplicates.
 *
 * @param attemptId identifier of the attempt, unique over all connections
 * @param service name of the service, which is the scope of the idempotency key
 * @param idempotencyKey idempotency key set by the caller, or empty
 * @param idempotent true if the request may safely be run more than once
 */
public record AttemptKey(
        String attemptId, String service, String idempotencyKey, boolean idempotent) {
    /**
     * Returns whether the caller set an idempotency key.
     *
     * @return true if there is a key
     */
    public boolean hasKey() {
        return !idempotencyKey.isEmpty();
    }

    String scopedKey() {
        return service + '\n' + idempotencyKey;
    }
}
