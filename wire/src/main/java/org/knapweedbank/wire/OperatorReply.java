package org.knapweedbank.wire;

/**
 * Response to a forwarded operator request.
 *
 * @param id identifier of the {@link OperatorCall}
 * @param status HTTP status code
 * @param body JSON body
 */
public record OperatorReply(long id, int status, byte[] body) implements Message {}
