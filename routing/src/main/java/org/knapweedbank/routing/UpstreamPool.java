package org.knapweedbank.routing;

import java.util.Optional;
import java.util.Set;

/** The upstreams of one service as a request plan sees them. Used from one thread. */
public interface UpstreamPool {
    /**
     * Chooses an upstream for one attempt.
     *
     * @param excluded upstreams that must not be chosen
     * @return the choice, or empty when no upstream can take work
     */
    Optional<UpstreamId> select(Set<UpstreamId> excluded);

    /**
     * Tells whether an upstream may still get new work.
     *
     * @param upstream the upstream
     * @return false if it is leaving, removed, ejected or not known
     */
    boolean available(UpstreamId upstream);

    /**
     * An attempt has been handed to the connection.
     *
     * @param upstream the upstream
     */
    void sent(UpstreamId upstream);

    /**
     * An attempt has ended; called once for each call of {@link #sent}.
     *
     * @param upstream the upstream
     * @param result how it ended
     */
    void ended(UpstreamId upstream, AttemptResult result);
}
