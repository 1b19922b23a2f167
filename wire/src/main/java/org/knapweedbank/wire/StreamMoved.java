package org.knapweedbank.wire;

/**
 * Asks an entry to continue an event stream at another upstream.
 *
 * @param id identifier of the request
 */
public record StreamMoved(long id) implements Message {}
