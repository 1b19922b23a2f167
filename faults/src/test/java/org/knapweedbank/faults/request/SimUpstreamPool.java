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

/**
 * The upstreams that an entry knows, with one upstream per agent. Selects at random among those
 * that are not leaving.
 */
final class SimUpstreamPool implements UpstreamPool {
    private final Random mRandom;

    /** Whether the upstream is leaving, by agent name. */
    private final Map<String, Boolean> mLeavingByAgent = new LinkedHashMap<>();

    SimUpstreamPool(Random random) {
        mRandom = random;
    }

    /** Returns the id of the upstream of an agent. */
    static UpstreamId upstreamId(String agent) {
        return new UpstreamId(new DaemonId(agent), agent + ":80");
    }

    /** Adds the upstream of an agent or changes its state. */
    void setLeaving(String agent, boolean leaving) {
        mLeavingByAgent.put(agent, leaving);
    }

    /** Excludes the upstream of an agent from selection. */
    void markLeaving(String agent) {
        mLeavingByAgent.put(agent, true);
    }

    @Override
    public Optional<UpstreamId> select(Set<UpstreamId> excluded) {
        List<UpstreamId> candidates =
                mLeavingByAgent.keySet().stream()
                        .map(SimUpstreamPool::upstreamId)
                        .filter(id -> isAvailable(id) && !excluded.contains(id))
                        .toList();
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(mRandom.nextInt(candidates.size())));
    }

    @Override
    public boolean isAvailable(UpstreamId upstream) {
        return !mLeavingByAgent.getOrDefault(upstream.agent().value(), true);
    }

    @Override
    public void recordSent(UpstreamId upstream) {}

    @Override
    public void recordEnded(UpstreamId upstream, AttemptResult result) {}
}
