package org.knapweedbank.wire;

import java.util.List;

/**
 * Daemons known to an entry, with the generation in force at each.
 *
 * @param id identifier of the query
 * @param daemons the entry itself and the agents of its partitions
 */
public record StatusReply(long id, List<DaemonStatus> daemons) implements Message {
    /** Copies the lists. */
    public StatusReply {
        daemons = List.copyOf(daemons);
    }
}
