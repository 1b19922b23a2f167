package org.knapweedbank.routing;

import java.util.Optional;
import java.util.Set;

/** Upstreams of one service, as used by a {@link RequestPlan}. Not thread-safe. */
public interface UpstreamPool {
    /**
     * Selects an upstream for an attempt.
     *
     * @param excluded upstreams that must not be selected
     * @return the upstream, or empty if none is available
     */
    Optional<UpstreamId> select(Set<UpstreamId> excluded);

    /**
     * Returns whether an upstream may get new requests.
     *
     * @param upstream the upstream
     * @return false if it is leaving, removed, ejected or unknown
     */
    boolean isAvailable(UpstreamId upstream);

    /**
     * Records that an attempt has been sent to an upstream.
     *
     * @param upstream the upstream
     */
    void recordSent(UpstreamId upstream);

    /**
     * Records that an attempt has ended. Must be called once for each call of {@link #recordSent}.
     *
     * @param upstream the upstream
     * @param result result of the attempt
     */
    void recordEnded(UpstreamId upstream, AttemptResult result);
}
