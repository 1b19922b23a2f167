package org.knapweedbank.entry.http;

import java.util.List;
import org.knapweedbank.wire.HeaderField;

/**
 * A caller's request after its checks, without the body.
 *
 * @param service service name
 * @param method HTTP method
 * @param path path and query for the upstream
 * @param headers end-to-end headers
 * @param deadlineMillis time allowed for the answer, or 0 if the caller names none
 * @param idempotencyKey key, or empty
 * @param correlationId identifier for logs
 * @param stream true if the caller accepts an event stream
 * @param lastEventId last event that the caller has seen, or empty
 */
public record CallerRequest(
        String service,
        String method,
        String path,
        List<HeaderField> headers,
        long deadlineMillis,
        String idempotencyKey,
        String correlationId,
        boolean stream,
        String lastEventId) {
    /** Copies the list. */
    public CallerRequest {
        headers = List.copyOf(headers);
    }
}
