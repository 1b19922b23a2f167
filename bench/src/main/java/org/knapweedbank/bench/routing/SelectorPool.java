package org.knapweedbank.bench.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.routing.AttemptResult;
import org.knapweedbank.routing.EjectionSettings;
import org.knapweedbank.routing.NetworkDelays;
import org.knapweedbank.routing.OutlierEjector;
import org.knapweedbank.routing.SelectorSettings;
import org.knapweedbank.routing.UpstreamId;
import org.knapweedbank.routing.UpstreamLoad;
import org.knapweedbank.routing.UpstreamSelector;
import org.knapweedbank.time.Clock;

/** Selects upstreams with the {@link UpstreamSelector} of the entry. */
final class SelectorPool implements SimulatedPool {
    private final UpstreamSelector mSelector;

    SelectorPool(int dataCentre, Clock clock, UniformRandomProvider random) {
        DataCentreId own = dataCentre(dataCentre);
        mSelector =
                new UpstreamSelector(
                        own,
                        SelectorSettings.DEFAULT,
                        new NetworkDelays(own, SelectorSettings.DEFAULT),
                        new OutlierEjector(EjectionSettings.DEFAULT, clock),
                        clock,
                        random);
    }

    @Override
    public void put(UpstreamId id, int dataCentre, int slots, boolean leaving) {
        mSelector.put(id, dataCentre(dataCentre), slots, leaving);
    }

    @Override
    public void recordLoad(UpstreamId id, UpstreamLoad load) {
        mSelector.recordLoad(id, load);
    }

    @Override
    public Optional<Duration> expectedDelay() {
        return mSelector.expectedDelay();
    }

    @Override
    public Optional<UpstreamId> select(Set<UpstreamId> excluded) {
        return mSelector.select(excluded);
    }

    @Override
    public boolean isAvailable(UpstreamId upstream) {
        return mSelector.isAvailable(upstream);
    }

    @Override
    public void recordSent(UpstreamId upstream) {
        mSelector.recordSent(upstream);
    }

    @Override
    public void recordEnded(UpstreamId upstream, AttemptResult result) {
        mSelector.recordEnded(upstream, result);
    }

    private static DataCentreId dataCentre(int index) {
        return new DataCentreId("dc" + index);
    }
}
