package org.knapweedbank.wire;

import java.util.List;

/**
 * Request of a caller, sent to the agent of the selected upstream.
 *
 * @param id identifier of the request within the connection
 * @param attemptId identifier of this attempt, unique over all connections
 * @param idempotencyKey idempotency key given by the caller, or empty
 * @param idempotent true if the request can safely be run more than once
 * @param service service name
 * @param method HTTP method
 * @param path path and query string for the upstream
 * @param headers end-to-end header fields
 * @param body complete body
 * @param deadlineMillis time left until the response has to arrive, in milliseconds
 * @param stream true if the caller accepts an event stream
 * @param correlationId identifier of the request in log lines
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
    /** Makes unmodifiable copies of the lists. */
    public Request {
        headers = List.copyOf(headers);
    }
}
