package org.knapweedbank.daemon;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import org.knapweedbank.agent.AgentDaemon;
import org.knapweedbank.agent.AgentSettings;
import org.knapweedbank.time.Clock;
import org.knapweedbank.worker.Worker;

/** Role that runs an agent daemon. */
final class AgentRole implements Role {
    private final AgentDaemon mAgent;

    /**
     * Creates the role.
     *
     * @param settings settings of the agent
     * @param vertx Vert.x instance whose event loops are used
     * @param clock clock of the agent
     * @param worker client of the worker on the VM
     * @param registry registry for the metrics of the agent
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
