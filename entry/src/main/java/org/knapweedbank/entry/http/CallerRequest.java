package org.knapweedbank.entry.http;

import java.util.List;
import org.knapweedbank.wire.HeaderField;

/**
 * Validated request of a caller, without the body.
 *
 * @param service name of the service
 * @param method HTTP method
 * @param path path and query sent to the upstream
 * @param headers headers forwarded to the upstream
 * @param deadlineMillis time allowed for the response in milliseconds, or 0 if the caller set none
 * @param idempotencyKey idempotency key, or empty
 * @param correlationId identifier that correlates log lines of the request
 * @param acceptsEventStream true if the caller accepts an event stream as response
 * @param lastEventId id of the last event that the caller has received, or empty
 */
public record CallerRequest(
        String service,
        String method,
        String path,
        List<HeaderField> headers,
        long deadlineMillis,
        String idempotencyKey,
        String correlationId,
        boolean acceptsEventStream,
        String lastEventId) {
    /** Creates a request with a copy of the headers. */
    public CallerRequest {
        headers = List.copyOf(headers);
    }
}
