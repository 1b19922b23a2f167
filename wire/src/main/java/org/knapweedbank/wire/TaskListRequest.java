package org.knapweedbank.wire;

/**
 * Asks an agent for all attempts that it holds, after a digest mismatch.
 *
 * @param epoch epoch of the owner
 */
public record TaskListRequest(long epoch) implements Message {}
