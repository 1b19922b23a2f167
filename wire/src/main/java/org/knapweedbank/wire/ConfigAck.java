package org.knapweedbank.wire;

import org.knapweedbank.model.DaemonId;

/**
 * Confirms that a generation is in force at the sender.
 *
 * @param daemon the sender
 * @param generation the generation
 */
public record ConfigAck(DaemonId daemon, long generation) implements Message {}
