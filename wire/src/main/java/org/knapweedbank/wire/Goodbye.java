package org.knapweedbank.wire;

/**
 * Refuses or ends a connection.
 *
 * @param reason short reason that the receiver can log
 */
public record Goodbye(String reason) implements Message {}
