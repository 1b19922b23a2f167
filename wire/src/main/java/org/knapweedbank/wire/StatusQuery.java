package org.knapweedbank.wire;

/**
 * Asks an entry for the daemons that it knows.
 *
 * @param id identifier of the query
 */
public record StatusQuery(long id) implements Message {}
