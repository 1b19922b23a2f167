package org.knapweedbank.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;

/**
 * Status of a daemon as known to an entry.
 *
 * @param daemon identifier of the daemon
 * @param role role of the daemon
 * @param dataCentre data centre of the daemon
 * @param incarnation incarnation of the daemon, which grows with each restart
 * @param generation configuration generation in force at the daemon
 * @param connected true if the daemon has a valid session
 * @param address HOST:PORT on which the daemon accepts frame connections
 * @param upstreams upstreams announced to the daemon
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record DaemonStatus(
        DaemonId daemon,
        DaemonRole role,
        DataCentreId dataCentre,
        long incarnation,
        long generation,
        boolean connected,
        String address,
        List<UpstreamState> upstreams) {
    /** Makes unmodifiable copies of the lists. */
    public DaemonStatus {
        upstreams = List.copyOf(upstreams);
    }
}
