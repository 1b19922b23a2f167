package org.knapweedbank.wire;

import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;

/**
 * First message of a connection, sent by the side that opened it.
 *
 * @param role role of the sender
 * @param daemon identifier of the sender
 * @param incarnation incarnation of the sender, which grows with each restart
 * @param dataCentre data centre of the sender
 * @param minVersion lowest protocol version that the sender supports
 * @param maxVersion highest protocol version that the sender supports
 */
public record Hello(
        DaemonRole role,
        DaemonId daemon,
        long incarnation,
        DataCentreId dataCentre,
        int minVersion,
        int maxVersion)
        implements Message {}
