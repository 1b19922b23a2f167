package org.knapweedbank.bench.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.knapweedbank.routing.AttemptResult;
import org.knapweedbank.routing.UpstreamId;

/** Baseline: selects the upstreams in rotation, regardless of load and distance. */
final class RoundRobinPool implements SimulatedPool {
    private final List<UpstreamId> mUpstreams = new ArrayList<>();
    private int mNextIndex;

    @Override
    public void put(UpstreamId id, int dataCentre, int slots, boolean leaving) {
        mUpstreams.remove(id);
        if (!leaving) {
            mUpstreams.add(id);
        }
    }

    @Override
    public Optional<UpstreamId> select(Set<UpstreamId> excluded) {
        for (int i = 0; i < mUpstreams.size(); i++) {
            UpstreamId id = mUpstreams.get(mNextIndex++ % mUpstreams.size());
            if (!excluded.contains(id)) {
                return Optional.of(id);
            }
        }
        return Optional.empty();
    }

    @Override
    public boolean isAvailable(UpstreamId upstream) {
        return mUpstreams.contains(upstream);
    }

    @Override
    public void recordSent(UpstreamId upstream) {}

    @Override
    public void recordEnded(UpstreamId upstream, AttemptResult result) {}
}
