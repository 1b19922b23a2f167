package org.knapweedbank.wire;

/**
 * Asks an agent for all attempts that it holds, after a mismatch of the {@link TaskDigest}.
 *
 * @param epoch epoch of the partition's owner
 */
public record TaskListRequest(long epoch) implements Message {}
