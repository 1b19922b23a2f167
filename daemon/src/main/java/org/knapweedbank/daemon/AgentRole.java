package org.knapweedbank.daemon;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import org.knapweedbank.agent.AgentDaemon;
import org.knapweedbank.agent.AgentSettings;
import org.knapweedbank.time.Clock;
import org.knapweedbank.worker.Worker;

/** Agent role. */
final class AgentRole implements Role {
    private final AgentDaemon mAgent;

    /**
     * Creates the role.
     *
     * @param settings settings
     * @param vertx event loops
     * @param clock clock
     * @param worker worker of the VM
     * @param registry receives the metrics
     */
    AgentRole(
            AgentSettings settings,
            Vertx vertx,
            Clock clock,
            Worker worker,
            MetricRegistry registry) {
        mAgent = new AgentDaemon(settings, vertx, clock, worker, registry);
    }

    @Override
    public Uni<Void> start() {
        return mAgent.start();
    }

    @Override
    public Uni<Void> stop() {
        return mAgent.stop();
    }

    AgentDaemon agent() {
        return mAgent;
    }
}
