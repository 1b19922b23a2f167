package org.knapweedbank.wire;

import org.knapweedbank.model.DaemonId;

/**
 * Confirms that the sender has put a configuration generation in force.
 *
 * @param daemon identifier of the sender
 * @param generation configuration generation
 */
public record ConfigAck(DaemonId daemon, long generation) implements Message {}
