package org.knapweedbank.wire;

/**
 * Grants a control session to an agent.
 *
 * @param partition partition to which the VM belongs
 * @param epoch epoch of the partition's owner
 * @param ttlMillis time to live of the session in milliseconds, counted from the sending of the
 *     last acknowledged heartbeat
 */
public record SessionGrant(int partition, long epoch, long ttlMillis) implements Message {}
