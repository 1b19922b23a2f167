package org.knapweedbank.bench.routing;

import java.time.Duration;
import java.util.Optional;
import org.knapweedbank.routing.UpstreamId;
import org.knapweedbank.routing.UpstreamLoad;
import org.knapweedbank.routing.UpstreamPool;

/** Pool of one simulated entry. */
interface SimulatedPool extends UpstreamPool {
    /**
     * Adds an upstream or changes its state.
     *
     * @param id the upstream
     * @param dataCentre index of its data centre
     * @param slots its slots
     * @param leaving true if it takes no new work
     */
    void put(UpstreamId id, int dataCentre, int slots, boolean leaving);

    /**
     * A load report has arrived.
     *
     * @param id the upstream
     * @param load the report
     */
    default void recordLoad(UpstreamId id, UpstreamLoad load) {}

    /** Smallest expected delay, if the policy knows it. */
    default Optional<Duration> expectedDelay() {
        return Optional.empty();
    }
}
