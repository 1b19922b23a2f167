package org.knapweedbank.wire;

import org.knapweedbank.model.DaemonId;

/**
 * Accepts a connection and selects the protocol version, in reply to {@link Hello}.
 *
 * @param daemon identifier of the accepting daemon
 * @param incarnation incarnation of the accepting daemon, which grows with each restart
 * @param version protocol version of all further messages
 */
public record Welcome(DaemonId daemon, long incarnation, int version) implements Message {}
