package org.knapweedbank.wire;

/**
 * Tells an agent that the answer is no longer wanted.
 *
 * @param id identifier of the request
 */
public record Cancel(long id) implements Message {}
