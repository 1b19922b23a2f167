package org.knapweedbank.routing;

/**
 * Properties of a caller's request that decide how it may be treated.
 *
 * @param idempotent true if a repeat does no harm
 * @param keyed true if the request is not idempotent and carries an idempotency key, so that the
 *     key has to be claimed first
 * @param stream true if the caller accepts an event stream
 * @param deadlineNanos monotonic time at which the caller no longer wants the answer
 */
public record RequestRules(boolean idempotent, boolean keyed, boolean stream, long deadlineNanos) {
    /** Checks that only a request that is not idempotent is keyed. */
    public RequestRules {
        if (idempotent && keyed) {
            throw new IllegalArgumentException("an idempotent request needs no claim");
        }
    }
}
