package org.knapweedbank.daemon;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.time.Duration;
import org.knapweedbank.time.SystemClock;

/**
 * The processes of {@code knapweedbankd --embedded} within another program, such as a benchmark.
 */
public final class EmbeddedDaemon implements AutoCloseable {
    private static final Duration STOP_LIMIT = Duration.ofMinutes(1);

    private final Vertx mVertx = Vertx.vertx();
    private final EmbeddedRole mRole;

    /**
     * Starts entry, agent and platform on their fixed loopback ports.
     *
     * @throws IOException when the file with the operator's key cannot be written
     */
    public EmbeddedDaemon() throws IOException {
        mRole = new EmbeddedRole(mVertx, new SystemClock(), new MetricRegistry());
        mRole.start().await().indefinitely();
    }

    /** Stops gracefully. */
    @Override
    public void close() {
        mRole.stop().await().atMost(STOP_LIMIT);
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
