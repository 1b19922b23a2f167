package org.knapweedbank.standin;

/**
 * One execution of a request at an upstream stand-in.
 *
 * @param upstream name of the upstream
 * @param method method of the request
 * @param path path of the request
 * @param idempotencyKey key of the request, or empty
 * @param token token in the request, or empty
 * @param correlationId correlation id, or empty
 * @param startMillis wall time of the start in milliseconds since 1970
 */
public record UpstreamExecution(
        String upstream,
        String method,
        String path,
        String idempotencyKey,
        String token,
        String correlationId,
        long startMillis) {}
