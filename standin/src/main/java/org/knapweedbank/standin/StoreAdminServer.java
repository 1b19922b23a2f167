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
 * HTTP admin interface of a simulated store, for tests. {@code GET /admin/counters} returns the
 * number of calls by kind and the call rates over about the last 10 seconds. {@code POST
 * /admin/faults} sets faults: {@code down}, {@code slowMillis}, and {@code lose} with {@code kind},
 * {@code point} and {@code count}; {@code clear} ends all faults first.
 */
public final class StoreAdminServer implements AutoCloseable {
    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final long MAX_BODY_BYTES = 64 * 1024;
    private static final long SAMPLE_INTERVAL_MILLIS = 1000;
    private static final int MAX_SAMPLES = 10;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Vertx mVertx;
    private final InMemoryStore mStore;
    private final Clock mClock;
    private final Deque<Sample> mSamples = new ArrayDeque<>();
    private final HttpServer mServer;
    private final long mSampleTimerId;

    /**
     * Totals at one time.
     *
     * @param timeNanos monotonic time in nanoseconds
     * @param reads calls that do not change the store
     * @param writes calls that change the store
     * @param bytesWritten bytes of keys and values in writes
     */
    private record Sample(long timeNanos, long reads, long writes, long bytesWritten) {}

    /**
     * Creates the server.
     *
     * @param vertx runs the connections and timers
     * @param store store to observe and to inject faults into
     * @param clock clock for the call rates
     */
    public StoreAdminServer(Vertx vertx, InMemoryStore store, Clock clock) {
        mVertx = vertx;
        mStore = store;
        mClock = clock;
        mServer = vertx.createHttpServer();
        takeSample();
        mSampleTimerId = vertx.setPeriodic(SAMPLE_INTERVAL_MILLIS, ignored -> takeSample());
    }

    /**
     * Starts listening.
     *
     * @param host address to listen on
     * @param port TCP port to listen on, or 0 for any free port
     * @return completes with the port when it is open
     */
    public Future<Integer> start(String host, int port) {
        Router router = Router.router(mVertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        router.get("/admin/counters")
                .handler(context -> JsonBodies.respond(context, STATUS_OK, encodeCounters()));
        router.post("/admin/faults").handler(this::setFaults);
        return mServer.requestHandler(router).listen(port, host).map(HttpServer::actualPort);
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mSampleTimerId);
        mServer.close();
    }

    private synchronized void takeSample() {
        StoreCallCounters counters = mStore.counters();
        mSamples.addLast(
                new Sample(
                        mClock.monotonicNanos(),
                        counters.reads(),
                        counters.writes(),
                        counters.bytesWritten()));
        if (mSamples.size() > MAX_SAMPLES) {
            mSamples.removeFirst();
        }
    }

    private synchronized ObjectNode encodeCounters() {
        StoreCallCounters counters = mStore.counters();
        ObjectNode node = JsonBodies.newObject();
        ObjectNode calls = node.putObject("calls");
        for (StoreCallKind kind : StoreCallKind.values()) {
            calls.put(kind.name(), counters.calls(kind));
        }
        node.put("reads", counters.reads());
        node.put("writes", counters.writes());
        node.put("bytesRead", counters.bytesRead());
        node.put("bytesWritten", counters.bytesWritten());
        node.put("largestValue", counters.largestValue());
        Sample oldest = mSamples.peekFirst();
        double seconds = (mClock.monotonicNanos() - oldest.timeNanos) / NANOS_PER_SECOND;
        ObjectNode rates = node.putObject("rates");
        rates.put("seconds", seconds);
        rates.put("readsPerSecond", (counters.reads() - oldest.reads) / seconds);
        rates.put("writesPerSecond", (counters.writes() - oldest.writes) / seconds);
        rates.put(
                "bytesWrittenPerSecond", (counters.bytesWritten() - oldest.bytesWritten) / seconds);
        return node;
    }

    private void setFaults(RoutingContext context) {
        try {
            setFaults(JsonBodies.parse(context.body().buffer()));
            JsonBodies.respond(context, STATUS_OK, JsonBodies.newObject());
        } catch (BadRequestException | IllegalArgumentException e) {
            ObjectNode error = JsonBodies.newObject().put("error", e.getMessage());
            JsonBodies.respond(context, STATUS_BAD_REQUEST, error);
        }
    }

    private void setFaults(ObjectNode body) throws BadRequestException {
        StoreFaults faults = mStore.faults();
        if (body.path("clear").asBoolean()) {
            faults.clear();
        }
        JsonNode loss = body.get("lose");
        if (loss != null) {
            faults.loseAnswers(
                    StoreCallKind.valueOf(loss.path("kind").asText()),
                    AnswerLoss.valueOf(loss.path("point").asText()),
                    (int) JsonBodies.decodeLong(loss.get("count"), "count"));
        }
        if (body.has("slowMillis")) {
            long millis = JsonBodies.decodeLong(body.get("slowMillis"), "slowMillis");
            faults.slow(Duration.ofMillis(millis));
        }
        if (body.has("down")) {
            faults.down(body.get("down").asBoolean());
        }
    }
}
