package org.knapweedbank.entry.upstream;

import org.knapweedbank.routing.UpstreamId;

/**
 * Attempt of a request that has been sent to an agent, or a query for a recorded response.
 *
 * @param connection connection over which it was sent
 * @param id call id, unique within the connection
 * @param attempt number of the attempt within its request
 * @param upstream target upstream, or null for a query for a recorded response
 * @param service name of the service
 * @param listener receiver of the response and of failures
 */
public record AgentCall(
        AgentConnection connection,
        long id,
        int attempt,
        UpstreamId upstream,
        String service,
        AttemptListener listener) {}
