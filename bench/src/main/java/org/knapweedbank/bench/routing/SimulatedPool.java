package org.knapweedbank.bench.routing;

import java.time.Duration;
import java.util.Optional;
import org.knapweedbank.routing.UpstreamId;
import org.knapweedbank.routing.UpstreamLoad;
import org.knapweedbank.routing.UpstreamPool;

/** Upstream pool of one simulated entry. */
interface SimulatedPool extends UpstreamPool {
    /**
     * Adds an upstream or changes its state.
     *
     * @param id the upstream
     * @param dataCentre index of its data centre
     * @param slots number of requests that it handles at a time
     * @param leaving true if it takes no new requests
     */
    void put(UpstreamId id, int dataCentre, int slots, boolean leaving);

    /**
     * Records a load report of an upstream; policies without load information ignore it.
     *
     * @param id the upstream
     * @param load the report
     */
    default void recordLoad(UpstreamId id, UpstreamLoad load) {}

    /**
     * Returns the smallest expected delay of an available upstream, or empty if the policy does not
     * estimate it.
     */
    default Optional<Duration> expectedDelay() {
        return Optional.empty();
    }
}
