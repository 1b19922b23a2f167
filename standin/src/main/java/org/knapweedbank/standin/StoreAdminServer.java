package org.knapweedbank.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.knapweedbank.time.Clock;

/**
 * HTTP interface for tests of a store stand-in: {@code GET /admin/counters} reads the calls by kind
 * and their rates over the last seconds, {@code POST /admin/faults} sets faults ({@code down},
 * {@code slowMillis}, {@code lose} with {@code kind}, {@code point} and {@code count}; {@code
 * clear} ends all).
 */
public final class StoreAdminServer implements AutoCloseable {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final long MAX_BODY_BYTES = 64 * 1024;
    private static final long SAMPLE_MILLIS = 1000;
    private static final int SAMPLES = 10;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Vertx mVertx;
    private final InMemoryStore mStore;
    private final Clock mClock;
    private final Deque<Sample> mSamples = new ArrayDeque<>();
    private final HttpServer mServer;
    private final long mTimer;

    /** Totals at one moment. */
    private record Sample(long nanos, long reads, long writes, long bytesWritten) {}

    /**
     * Creates the server.
     *
     * @param vertx runs the connections
     * @param store the store
     * @param clock measures the rates
     */
    public StoreAdminServer(Vertx vertx, InMemoryStore store, Clock clock) {
        mVertx = vertx;
        mStore = store;
        mClock = clock;
        mServer = vertx.createHttpServer();
        sample();
        mTimer = vertx.setPeriodic(SAMPLE_MILLIS, ignored -> sample());
    }

    /**
     * Starts to listen.
     *
     * @param host address to listen on
     * @param port port to listen on, or 0 for any
     * @return the port, once it is open
     */
    public Future<Integer> start(String host, int port) {
        Router router = Router.router(mVertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        router.get("/admin/counters")
                .handler(context -> JsonBodies.answer(context, OK, counters()));
        router.post("/admin/faults").handler(this::setFaults);
        return mServer.requestHandler(router).listen(port, host).map(HttpServer::actualPort);
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mTimer);
        mServer.close();
    }

    private synchronized void sample() {
        StoreCallCounters counters = mStore.counters();
        mSamples.addLast(
                new Sample(
                        mClock.monotonicNanos(),
                        counters.reads(),
                        counters.writes(),
                        counters.bytesWritten()));
        if (mSamples.size() > SAMPLES) {
            mSamples.removeFirst();
        }
    }

    private synchronized ObjectNode counters() {
        StoreCallCounters counters = mStore.counters();
        ObjectNode node = JsonBodies.object();
        ObjectNode calls = node.putObject("calls");
        for (StoreCallKind kind : StoreCallKind.values()) {
            calls.put(kind.name(), counters.calls(kind));
        }
        node.put("reads", counters.reads());
        node.put("writes", counters.writes());
        node.put("bytesRead", counters.bytesRead());
        node.put("bytesWritten", counters.bytesWritten());
        node.put("largestValue", counters.largestValue());
        Sample first = mSamples.peekFirst();
        double seconds = (mClock.monotonicNanos() - first.nanos) / NANOS_PER_SECOND;
        ObjectNode rates = node.putObject("rates");
        rates.put("seconds", seconds);
        rates.put("readsPerSecond", (counters.reads() - first.reads) / seconds);
        rates.put("writesPerSecond", (counters.writes() - first.writes) / seconds);
        rates.put(
                "bytesWrittenPerSecond", (counters.bytesWritten() - first.bytesWritten) / seconds);
        return node;
    }

    private void setFaults(RoutingContext context) {
        try {
            setFaults(JsonBodies.parse(context.body().buffer()));
            JsonBodies.answer(context, OK, JsonBodies.object());
        } catch (BadRequestException | IllegalArgumentException e) {
            ObjectNode error = JsonBodies.object().put("error", e.getMessage());
            JsonBodies.answer(context, BAD_REQUEST, error);
        }
    }

    private void setFaults(ObjectNode body) throws BadRequestException {
        StoreFaults faults = mStore.faults();
        if (body.path("clear").asBoolean()) {
            faults.clear();
        }
        JsonNode lose = body.get("lose");
        if (lose != null) {
            faults.loseAnswers(
                    StoreCallKind.valueOf(lose.path("kind").asText()),
                    AnswerLoss.valueOf(lose.path("point").asText()),
                    (int) JsonBodies.number(lose.get("count"), "count"));
        }
        if (body.has("slowMillis")) {
            long millis = JsonBodies.number(body.get("slowMillis"), "slowMillis");
            faults.slow(Duration.ofMillis(millis));
        }
        if (body.has("down")) {
            faults.down(body.get("down").asBoolean());
        }
    }
}
