package org.knapweedbank.routing;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.knapweedbank.model.DaemonId;

/** Pool that selects its upstreams in a fixed order and records the results of attempts. */
final class FixedPool implements UpstreamPool {
    final Set<UpstreamId> mUpstreams = new LinkedHashSet<>();
    final List<AttemptResult> mResults = new ArrayList<>();
    int mOpenAttempts;

    FixedPool(String... agents) {
        for (String agent : agents) {
            mUpstreams.add(id(agent));
        }
    }

    static UpstreamId id(String agent) {
        return new UpstreamId(new DaemonId(agent), agent + ":80");
    }

    @Override
    public Optional<UpstreamId> select(Set<UpstreamId> excluded) {
        return mUpstreams.stream().filter(id -> !excluded.contains(id)).findFirst();
    }

    @Override
    public boolean isAvailable(UpstreamId upstream) {
        return mUpstreams.contains(upstream);
    }

    @Override
    public void recordSent(UpstreamId upstream) {
        mOpenAttempts++;
    }

    @Override
    public void recordEnded(UpstreamId upstream, AttemptResult result) {
        mOpenAttempts--;
        mResults.add(result);
    }
}
