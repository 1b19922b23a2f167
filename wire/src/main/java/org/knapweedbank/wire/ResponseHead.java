package org.knapweedbank.wire;

import java.util.List;

/**
 * Status and header fields of an upstream's response.
 *
 * @param id identifier of the request
 * @param status HTTP status code
 * @param headers end-to-end header fields
 * @param stream true if the body is an event stream
 */
public record ResponseHead(long id, int status, List<HeaderField> headers, boolean stream)
        implements Message {
    /** Makes unmodifiable copies of the lists. */
    public ResponseHead {
        headers = List.copyOf(headers);
    }
}
