package org.knapweedbank.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;

/**
 * An upstream with the agent through which it is reached. Of two records of an upstream, the newer
 * one has the higher incarnation or, within an incarnation, the higher sequence number.
 *
 * @param agent identifier of the agent
 * @param incarnation incarnation of the agent, which grows with each restart
 * @param dataCentre data centre of the agent
 * @param agentAddress HOST:PORT on which the agent accepts requests
 * @param state state that the upstream announced to the agent
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record UpstreamRecord(
        DaemonId agent,
        long incarnation,
        DataCentreId dataCentre,
        String agentAddress,
        UpstreamState state) {}
