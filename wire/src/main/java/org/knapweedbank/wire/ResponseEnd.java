package org.knapweedbank.wire;

/**
 * Marks the end of a complete response.
 *
 * @param id identifier of the request
 * @param chunks number of chunks sent
 * @param bytes number of body bytes sent
 * @param load load of the upstream
 */
public record ResponseEnd(long id, int chunks, long bytes, LoadReport load) implements Message {}
