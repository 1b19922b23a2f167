package org.knapweedbank.entry.upstream;

import org.knapweedbank.model.DaemonId;
import org.knapweedbank.routing.UpstreamId;
import org.knapweedbank.wire.UpstreamRecord;

/**
 * Identity of an upstream over all services.
 *
 * @param agent agent that serves it
 * @param service service name
 * @param address HOST:PORT of the upstream
 */
public record UpstreamKey(DaemonId agent, String service, String address) {
    /**
     * The key of a record.
     *
     * @param record the record
     * @return its key
     */
    public static UpstreamKey of(UpstreamRecord record) {
        return new UpstreamKey(record.agent(), record.state().service(), record.state().address());
    }

    /**
     * Identity within the service.
     *
     * @return the identity
     */
    public UpstreamId id() {
        return new UpstreamId(agent, address);
    }
}
