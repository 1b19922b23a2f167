package org.knapweedbank.bench.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.knapweedbank.routing.AttemptResult;
import org.knapweedbank.routing.UpstreamId;

/**
 * Baseline: selects the upstream with the fewest open requests of this entry, and a random one of
 * several with equally few.
 */
final class LeastConnectionsPool implements SimulatedPool {
    private final Map<UpstreamId, Integer> mOpenRequests =
            new TreeMap<>(LeastConnectionsPool::compareAgents);
    private final Map<UpstreamId, Boolean> mLeaving = new HashMap<>();
    private final UniformRandomProvider mRandom;

    LeastConnectionsPool(UniformRandomProvider random) {
        mRandom = random;
    }

    @Override
    public void put(UpstreamId id, int dataCentre, int slots, boolean leaving) {
        mOpenRequests.putIfAbsent(id, 0);
        mLeaving.put(id, leaving);
    }

    @Override
    public Optional<UpstreamId> select(Set<UpstreamId> excluded) {
        UpstreamId selected = null;
        int fewestOpen = Integer.MAX_VALUE;
        int tieCount = 0;
        for (Map.Entry<UpstreamId, Integer> entry : mOpenRequests.entrySet()) {
            UpstreamId id = entry.getKey();
            if (mLeaving.get(id) || excluded.contains(id) || entry.getValue() > fewestOpen) {
                continue;
            }
            tieCount = entry.getValue() < fewestOpen ? 1 : tieCount + 1;
            fewestOpen = entry.getValue();
            if (mRandom.nextInt(tieCount) == 0) {
                selected = id;
            }
        }
        return Optional.ofNullable(selected);
    }

    @Override
    public boolean isAvailable(UpstreamId upstream) {
        return !mLeaving.getOrDefault(upstream, true);
    }

    @Override
    public void recordSent(UpstreamId upstream) {
        mOpenRequests.merge(upstream, 1, Integer::sum);
    }

    @Override
    public void recordEnded(UpstreamId upstream, AttemptResult result) {
        mOpenRequests.merge(upstream, -1, Integer::sum);
    }

    private static int compareAgents(UpstreamId first, UpstreamId second) {
        return first.agent().compareTo(second.agent());
    }
}
