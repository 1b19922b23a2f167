package org.knapweedbank.wire;

import java.util.List;

/**
 * Status and headers of an upstream's answer.
 *
 * @param id identifier of the request
 * @param status HTTP status
 * @param headers end-to-end headers
 * @param stream true if an event stream follows
 */
public record ResponseHead(long id, int status, List<HeaderField> headers, boolean stream)
        implements Message {
    /** Copies the lists. */
    public ResponseHead {
        headers = List.copyOf(headers);
    }
}
