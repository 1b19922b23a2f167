package org.knapweedbank.wire;

/**
 * Tells an agent which entry owns its partition.
 *
 * @param address HOST:PORT of the owner, or empty if the partition has no owner
 * @param epoch epoch of the owner
 */
public record Redirect(String address, long epoch) implements Message {}
