package org.knapweedbank.wire;

/**
 * Grants a control session.
 *
 * @param partition partition of the VM
 * @param epoch epoch of the partition's owner
 * @param ttlMillis time to live of the session, from the sending of the last acknowledged heartbeat
 */
public record SessionGrant(int partition, long epoch, long ttlMillis) implements Message {}
