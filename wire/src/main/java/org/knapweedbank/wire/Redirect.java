package org.knapweedbank.wire;

/**
 * Tells an agent which entry owns its partition.
 *
 * @param address HOST:PORT of the owner, or empty when the partition has none
 * @param epoch epoch of that owner
 */
public record Redirect(String address, long epoch) implements Message {}
