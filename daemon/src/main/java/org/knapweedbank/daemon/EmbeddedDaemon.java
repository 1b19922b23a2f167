package org.knapweedbank.daemon;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.time.Duration;
import org.knapweedbank.time.SystemClock;

/**
 * Runs the roles of {@code knapweedbankd --embedded} within another program, such as a benchmark.
 */
public final class EmbeddedDaemon implements AutoCloseable {
    private static final Duration STOP_TIMEOUT = Duration.ofMinutes(1);

    private final Vertx mVertx = Vertx.vertx();
    private final EmbeddedRole mRole;

    /**
     * Starts the entry, the agent and the in-memory platform on fixed loopback ports.
     *
     * @throws IOException if the file for the operator's key cannot be written
     */
    public EmbeddedDaemon() throws IOException {
        mRole = new EmbeddedRole(mVertx, new SystemClock(), new MetricRegistry());
        mRole.start().await().indefinitely();
    }

    /** Stops the roles gracefully. */
    @Override
    public void close() {
        mRole.stop().await().atMost(STOP_TIMEOUT);
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
