package org.knapweedbank.config;

import java.util.Set;

/**
 * Settings of a service that callers can reach.
 *
 * @param name name of the service, as in {@code /s/NAME/}
 * @param objectiveMillis objective for the p99 latency in milliseconds
 * @param defaultDeadlineMillis deadline in milliseconds for requests whose caller sets none
 * @param maxConcurrent maximum number of concurrent requests to the service at one entry
 * @param idempotentMethods HTTP methods whose requests may be retried
 * @param requireIdempotencyKey true if requests with other methods need the header {@code
 *     Idempotency-Key}
 */
public record ServiceSettings(
        String name,
        long objectiveMillis,
        long defaultDeadlineMillis,
        int maxConcurrent,
        Set<String> idempotentMethods,
        boolean requireIdempotencyKey) {
    /** Copies the set. */
    public ServiceSettings {
        idempotentMethods = Set.copyOf(idempotentMethods);
    }
}
