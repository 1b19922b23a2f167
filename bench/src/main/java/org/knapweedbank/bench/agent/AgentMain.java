package org.knapweedbank.bench.agent;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.List;
import org.knapweedbank.agent.AgentDaemon;
import org.knapweedbank.agent.AgentSettings;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.VmId;
import org.knapweedbank.time.SystemClock;

/**
 * Process for {@link AgentFootprint} that runs an agent with a worker whose tasks are all running.
 */
public final class AgentMain {
    /** Number of tasks of a worker at the target size: 48,000 tasks on 1,900 workers. */
    static final int TASK_COUNT = 25;

    private AgentMain() {}

    /**
     * Starts the agent and runs it until the end of the standard input.
     *
     * @param args address of the entry, data port and announcement port
     * @throws Exception when the agent cannot be started
     */
    public static void main(String[] args) throws Exception {
        Vertx vertx =
                Vertx.vertx(
                        new VertxOptions()
                                .setEventLoopPoolSize(1)
                                .setWorkerPoolSize(1)
                                .setInternalBlockingPoolSize(1));
        AgentSettings settings =
                new AgentSettings(
                        new DaemonId("agent-1"),
                        new VmId("vm-1"),
                        "ec",
                        new DataCentreId("quito-a"),
                        "rack-1",
                        new Resources(64_000, 250_000, 1),
                        "127.0.0.1",
                        Integer.parseInt(args[1]),
                        Integer.parseInt(args[2]),
                        List.of(args[0]));
        AgentDaemon agent =
                new AgentDaemon(
                        settings,
                        vertx,
                        new SystemClock(),
                        new IdleWorker(TASK_COUNT),
                        new MetricRegistry());
        agent.start().await().indefinitely();
        while (System.in.read() >= 0) {
            // The parent process closes the stream to stop this process.
        }
        agent.stop().await().indefinitely();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
