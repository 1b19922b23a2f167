package org.knapweedbank.wire;

/**
 * Forwards an operator's request to the entry that can handle it.
 *
 * @param id identifier of the call
 * @param operator name of the authenticated operator
 * @param method HTTP method
 * @param path path and query string
 * @param body JSON body, or empty
 */
public record OperatorCall(long id, String operator, String method, String path, byte[] body)
        implements Message {}
