package org.knapweedbank.wire;

/**
 * Answer to a forwarded operator request.
 *
 * @param id identifier of the call
 * @param status HTTP status
 * @param body JSON body
 */
public record OperatorReply(long id, int status, byte[] body) implements Message {}
