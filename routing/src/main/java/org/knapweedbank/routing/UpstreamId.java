package org.knapweedbank.routing;

import org.knapweedbank.model.DaemonId;

/**
 * Identity of an upstream of one service.
 *
 * @param agent agent that serves the upstream
 * @param address HOST:PORT of the upstream
 */
public record UpstreamId(DaemonId agent, String address) {
    @Override
    public String toString() {
        return agent + "/" + address;
    }
}
