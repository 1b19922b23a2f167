package org.knapweedbank.wire;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * State of an upstream as announced to its agent.
 *
 * @param service service name
 * @param address HOST:PORT of the upstream
 * @param slots number of requests that the upstream can run concurrently
 * @param connections maximum number of connections that the upstream accepts
 * @param leaving true if the upstream accepts no new requests
 * @param gone true if the announcement of the upstream has expired
 * @param seq sequence number of the state, which grows with each change at this agent
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
