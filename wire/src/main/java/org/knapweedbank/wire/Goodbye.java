package org.knapweedbank.wire;

/**
 * Refuses or ends a connection.
 *
 * @param reason short reason for the log
 */
public record Goodbye(String reason) implements Message {}
