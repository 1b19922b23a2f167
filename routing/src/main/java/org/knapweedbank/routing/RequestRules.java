package org.knapweedbank.routing;

/**
 * Properties of a request that determine how it may be processed.
 *
 * @param idempotent true if the request may safely be run more than once
 * @param keyed true if the request is not idempotent and has an idempotency key, which must be
 *     claimed before the request is sent
 * @param stream true if the caller accepts an event stream
 * @param deadlineNanos monotonic time after which the caller no longer needs the answer, in
 *     nanoseconds
 */
public record RequestRules(boolean idempotent, boolean keyed, boolean stream, long deadlineNanos) {
    /**
     * Checks that a keyed request is not idempotent.
     *
     * @throws IllegalArgumentException if the request is both idempotent and keyed
     */
    public RequestRules {
        if (idempotent && keyed) {
            throw new IllegalArgumentException("an idempotent request must not be keyed");
        }
    }
}
