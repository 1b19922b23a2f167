package org.knapweedbank.wire;

/**
 * Part of the body of a response.
 *
 * @param id identifier of the request
 * @param index position of the chunk in the body, from 0
 * @param bytes content of the chunk
 */
public record ResponseChunk(long id, int index, byte[] bytes) implements Message {}
