package org.knapweedbank.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;

/**
 * A daemon and the configuration generation in force there.
 *
 * @param daemon the daemon
 * @param role its role
 * @param dataCentre its data centre
 * @param incarnation its incarnation
 * @param generation generation in force
 * @param connected true if its session is valid
 * @param address HOST:PORT of its frame listener
 * @param upstreams upstreams beside it
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
    /** Copies the lists. */
    public DaemonStatus {
        upstreams = List.copyOf(upstreams);
    }
}
