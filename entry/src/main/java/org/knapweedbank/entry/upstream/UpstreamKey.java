package org.knapweedbank.entry.upstream;

import org.knapweedbank.model.DaemonId;
import org.knapweedbank.routing.UpstreamId;
import org.knapweedbank.wire.UpstreamRecord;

/**
 * Key that identifies an upstream across all services.
 *
 * @param agent agent that forwards requests to the upstream
 * @param service name of the service
 * @param address HOST:PORT of the upstream
 */
public record UpstreamKey(DaemonId agent, String service, String address) {
    /**
     * Returns the key of a record's upstream.
     *
     * @param record the record
     * @return the key
     */
    public static UpstreamKey of(UpstreamRecord record) {
        return new UpstreamKey(record.agent(), record.state().service(), record.state().address());
    }

    /**
     * Returns the identifier of the upstream within its service.
     *
     * @return the identifier
     */
    public UpstreamId id() {
        return new UpstreamId(agent, address);
    }
}
