package org.knapweedbank.standin;

/**
 * One execution of a request by a simulated upstream.
 *
 * @param upstream name of the upstream
 * @param method HTTP method of the request
 * @param path path and query of the request
 * @param idempotencyKey value of the {@code Idempotency-Key} header, or empty
 * @param token token by which a test recognizes the request, or empty
 * @param correlationId value of the {@code X-Correlation-Id} header, or empty
 * @param startMillis wall-clock time of the start in milliseconds since 1970
 */
public record UpstreamExecution(
        String upstream,
        String method,
        String path,
        String idempotencyKey,
        String token,
        String correlationId,
        long startMillis) {}
