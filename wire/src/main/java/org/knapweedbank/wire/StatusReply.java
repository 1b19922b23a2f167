package org.knapweedbank.wire;

import java.util.List;

/**
 * Reply to a {@link StatusQuery}: the daemons that an entry knows, with their status.
 *
 * @param id identifier of the query
 * @param daemons status of the entry itself and of the agents of its partitions
 */
public record StatusReply(long id, List<DaemonStatus> daemons) implements Message {
    /** Makes unmodifiable copies of the lists. */
    public StatusReply {
        daemons = List.copyOf(daemons);
    }
}
