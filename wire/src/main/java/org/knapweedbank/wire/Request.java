package org.knapweedbank.wire;

import java.util.List;

/**
 * A caller's request, sent to the agent of the chosen upstream.
 *
 * @param id identifier within the connection
 * @param attemptId identifier of this attempt, unique over all connections
 * @param idempotencyKey key given by the caller, or empty
 * @param idempotent true if a repeat does no harm
 * @param service service name
 * @param method HTTP method
 * @param path path and query for the upstream
 * @param headers end-to-end headers
 * @param body whole body
 * @param deadlineMillis time left for the answer, in milliseconds
 * @param stream true if the caller accepts an event stream
 * @param correlationId identifier for logs
 */
public record Request(
        long id,
        String attemptId,
        String idempotencyKey,
        boolean idempotent,
        String service,
        String method,
        String path,
        List<HeaderField> headers,
        byte[] body,
        long deadlineMillis,
        boolean stream,
        String correlationId)
        implements Message {
    /** Copies the lists. */
    public Request {
        headers = List.copyOf(headers);
    }
}
