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
 * Baseline: the upstream with the fewest open requests of this entry; ties are broken at random.
 */
final class LeastConnectionsPool implements SimulatedPool {
    private final Map<UpstreamId, Integer> mOpen = new TreeMap<>(LeastConnectionsPool::compare);
    private final Map<UpstreamId, Boolean> mLeaving = new HashMap<>();
    private final UniformRandomProvider mRandom;

    LeastConnectionsPool(UniformRandomProvider random) {
        mRandom = random;
    }

    @Override
    public void put(UpstreamId id, int dataCentre, int slots, boolean leaving) {
        mOpen.putIfAbsent(id, 0);
        mLeaving.put(id, leaving);
    }

    @Override
    public Optional<UpstreamId> select(Set<UpstreamId> excluded) {
        UpstreamId best = null;
        int fewest = Integer.MAX_VALUE;
        int ties = 0;
        for (Map.Entry<UpstreamId, Integer> entry : mOpen.entrySet()) {
            UpstreamId id = entry.getKey();
            if (mLeaving.get(id) || excluded.contains(id) || entry.getValue() > fewest) {
                continue;
            }
            ties = entry.getValue() < fewest ? 1 : ties + 1;
            fewest = entry.getValue();
            if (mRandom.nextInt(ties) == 0) {
                best = id;
            }
        }
        return Optional.ofNullable(best);
    }

    @Override
    public boolean available(UpstreamId upstream) {
        return !mLeaving.getOrDefault(upstream, true);
    }

    @Override
    public void sent(UpstreamId upstream) {
        mOpen.merge(upstream, 1, Integer::sum);
    }

    @Override
    public void ended(UpstreamId upstream, AttemptResult result) {
        mOpen.merge(upstream, -1, Integer::sum);
    }

    private static int compare(UpstreamId first, UpstreamId second) {
        return first.agent().compareTo(second.agent());
    }
}
