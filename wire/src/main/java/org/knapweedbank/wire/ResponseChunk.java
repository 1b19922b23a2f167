package org.knapweedbank.wire;

/**
 * Part of the body of an answer.
 *
 * @param id identifier of the request
 * @param index position of the chunk, from 0
 * @param bytes content
 */
public record ResponseChunk(long id, int index, byte[] bytes) implements Message {}
