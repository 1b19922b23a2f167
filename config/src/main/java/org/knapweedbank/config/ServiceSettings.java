package org.knapweedbank.config;

import java.util.Set;

/**
 * Settings of a service that callers can reach.
 *
 * @param name name of the service, as in {@code /s/NAME/}
 * @param objectiveMillis objective for the p99 latency in milliseconds
 * @param defaultDeadlineMillis time allowed for an answer when the caller names none
 * @param maxConcurrent requests of the service that one entry has open at a time
 * @param idempotentMethods HTTP methods that may be repeated
 * @param requireIdempotencyKey true if other methods need an {@code Idempotency-Key}
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
