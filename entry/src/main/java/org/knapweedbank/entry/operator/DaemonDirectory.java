package org.knapweedbank.entry.operator;

import io.smallrye.mutiny.Uni;
import java.util.List;
import org.knapweedbank.wire.DaemonStatus;

/** Lists all daemons of the deployment, by querying each entry for its agents. */
public interface DaemonDirectory {
    /**
     * Collects the status of all daemons.
     *
     * @return status of the entries and agents; an entry that does not reply is listed as not
     *     connected
     */
    Uni<List<DaemonStatus>> daemons();
}
