package org.knapweedbank.wire;

/**
 * Tells an agent that the response to a request is no longer needed.
 *
 * @param id identifier of the request
 */
public record Cancel(long id) implements Message {}
