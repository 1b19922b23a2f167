package org.knapweedbank.routing.duplicate;

/**
 * Identity of an attempt of a request.
 *
 * @param attemptId identifier of the attempt, unique over all connections
 * @param service service name, the scope of the idempotency key
 * @param idempotencyKey key given by the caller, or empty
 * @param idempotent true if a repeat does no harm
 */
public record AttemptKey(
        String attemptId, String service, String idempotencyKey, boolean idempotent) {
    /**
     * Tells whether the caller gave an idempotency key.
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
