package org.knapweedbank.faults.request;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.routing.AttemptResult;
import org.knapweedbank.routing.UpstreamId;
import org.knapweedbank.routing.UpstreamPool;

/** Upstreams as one entry knows them; selects one at random. */
final class SimUpstreamPool implements UpstreamPool {
    private final Random mRandom;
    private final Map<String, Boolean> mLeavingByAgent = new LinkedHashMap<>();

    SimUpstreamPool(Random random) {
        mRandom = random;
    }

    static UpstreamId upstreamId(String agent) {
        return new UpstreamId(new DaemonId(agent), agent + ":80");
    }

    void setLeaving(String agent, boolean leaving) {
        mLeavingByAgent.put(agent, leaving);
    }

    void markLeaving(String agent) {
        mLeavingByAgent.put(agent, true);
    }

    @Override
    public Optional<UpstreamId> select(Set<UpstreamId> excluded) {
        List<UpstreamId> candidates =
                mLeavingByAgent.keySet().stream()
                        .map(SimUpstreamPool::upstreamId)
                        .filter(id -> available(id) && !excluded.contains(id))
                        .toList();
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(mRandom.nextInt(candidates.size())));
    }

    @Override
    public boolean available(UpstreamId upstream) {
        return !mLeavingByAgent.getOrDefault(upstream.agent().value(), true);
    }

    @Override
    public void sent(UpstreamId upstream) {}

    @Override
    public void ended(UpstreamId upstream, AttemptResult result) {}
}
