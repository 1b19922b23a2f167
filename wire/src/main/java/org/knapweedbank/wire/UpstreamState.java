package org.knapweedbank.wire;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * State of an upstream as announced to its agent.
 *
 * @param service service name
 * @param address HOST:PORT of the upstream
 * @param slots requests that it runs at a time
 * @param connections connections that it accepts
 * @param leaving true if it takes no new work
 * @param gone true if its announcement has lapsed
 * @param seq grows with each change of this upstream at this agent
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record UpstreamState(
        String service,
        String address,
        int slots,
        int connections,
        boolean leaving,
        boolean gone,
        long seq) {}
