package org.knapweedbank.wire;

import org.knapweedbank.model.DaemonId;

/**
 * Accepts a connection and fixes the protocol version.
 *
 * @param daemon daemon that accepted
 * @param incarnation its incarnation
 * @param version version used from now on
 */
public record Welcome(DaemonId daemon, long incarnation, int version) implements Message {}
