package org.knapweedbank.wire;

/**
 * Acknowledges a heartbeat, which renews the session.
 *
 * @param seq sequence number of the heartbeat
 * @param epoch epoch of the partition's owner
 * @param generation highest configuration generation that the owner knows
 */
public record HeartbeatAck(long seq, long epoch, long generation) implements Message {}
