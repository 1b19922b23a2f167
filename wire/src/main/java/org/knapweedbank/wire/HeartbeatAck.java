package org.knapweedbank.wire;

/**
 * Confirms a heartbeat and with it the session.
 *
 * @param seq sequence number of the heartbeat
 * @param epoch epoch of the owner
 * @param generation highest configuration generation that the owner knows
 */
public record HeartbeatAck(long seq, long epoch, long generation) implements Message {}
