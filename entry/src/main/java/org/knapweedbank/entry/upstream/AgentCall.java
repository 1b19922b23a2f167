package org.knapweedbank.entry.upstream;

import org.knapweedbank.routing.UpstreamId;

/**
 * Open attempt at an agent.
 *
 * @param connection connection that carries it
 * @param id identifier within the connection
 * @param attempt number of the attempt within its request
 * @param upstream the upstream, or null for the replay of an earlier answer
 * @param service the service
 * @param listener receives what happens
 */
public record AgentCall(
        AgentConnection connection,
        long id,
        int attempt,
        UpstreamId upstream,
        String service,
        AttemptListener listener) {}
