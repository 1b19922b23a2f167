package org.knapweedbank.routing;

import org.knapweedbank.model.DaemonId;

/**
 * Identifier of an upstream of a service.
 *
 * @param agent agent that connects to the upstream
 * @param address address of the upstream as HOST:PORT
 */
public record UpstreamId(DaemonId agent, String address) {
    @Override
    public String toString() {
        return agent + "/" + address;
    }
}
