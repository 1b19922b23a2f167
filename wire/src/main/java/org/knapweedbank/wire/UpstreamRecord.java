package org.knapweedbank.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;

/**
 * An upstream with the agent that serves it. Newer records have a higher (incarnation, sequence).
 *
 * @param agent the agent
 * @param incarnation incarnation of the agent
 * @param dataCentre data centre
 * @param agentAddress HOST:PORT on which the agent accepts requests
 * @param state announced state
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record UpstreamRecord(
        DaemonId agent,
        long incarnation,
        DataCentreId dataCentre,
        String agentAddress,
        UpstreamState state) {}
