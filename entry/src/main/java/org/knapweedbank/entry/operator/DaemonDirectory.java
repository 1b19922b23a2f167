package org.knapweedbank.entry.operator;

import io.smallrye.mutiny.Uni;
import java.util.List;
import org.knapweedbank.wire.DaemonStatus;

/** Knows all daemons of the deployment, by asking the entries for those that they serve. */
public interface DaemonDirectory {
    /**
     * Collects the state of all daemons.
     *
     * @return entries and agents; an entry that does not answer is listed as not connected
     */
    Uni<List<DaemonStatus>> daemons();
}
