package org.knapweedbank.bench.agent;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.wire.ConfigAck;
import org.knapweedbank.wire.ConfigPush;
import org.knapweedbank.wire.DaemonRole;
import org.knapweedbank.wire.FrameClient;
import org.knapweedbank.wire.FrameConnection;
import org.knapweedbank.wire.FrameServer;
import org.knapweedbank.wire.FrameTimeouts;
import org.knapweedbank.wire.HeaderField;
import org.knapweedbank.wire.Heartbeat;
import org.knapweedbank.wire.HeartbeatAck;
import org.knapweedbank.wire.Hello;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.Request;
import org.knapweedbank.wire.ResponseEnd;
import org.knapweedbank.wire.SessionGrant;
import org.knapweedbank.wire.SessionOpen;
import org.knapweedbank.wire.TrafficClass;
import org.knapweedbank.wire.TrafficCounters;

/**
 * Entry and upstream of the measured agent. They run in the benchmark process, apart from the
 * agent.
 */
final class FootprintPeer {
    private static final Logger LOG = LogManager.getLogger(FootprintPeer.class);
    private static final DaemonId ENTRY = new DaemonId("entry-1");
    private static final long SERVICE_TIME_MILLIS = 5;
    private static final long ANNOUNCE_INTERVAL_MILLIS = 2000;
    private static final long SESSION_TIMEOUT_SECONDS = 30;
    private static final String RESPONSE_BODY = "x".repeat(1000);

    private final Vertx mVertx = Vertx.vertx();
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final TrafficCounters mCounters = new TrafficCounters(mRegistry);

    /** Completed when the agent has acknowledged its configuration. */
    private final CompletableFuture<Void> mSessionReady = new CompletableFuture<>();

    /**
     * Send times of the latest requests, at the index of the request identifier modulo the length.
     */
    private final long[] mSentNanos = new long[4096];

    private final Histogram mLatencyMicros = new Histogram(3);
    private HttpServer mUpstream;
    private FrameConnection mDataConnection;
    private long mNextRequestId;
    private int mUnansweredRequests;

    /** Starts the upstream and the listener of the entry; returns the port of the listener. */
    int startListener() {
        mUpstream =
                mVertx.createHttpServer()
                        .requestHandler(
                                request ->
                                        mVertx.setTimer(
                                                SERVICE_TIME_MILLIS,
                                                ignored -> request.response().end(RESPONSE_BODY)))
                        .listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .join();
        return new FrameServer(mVertx, ENTRY, 1, FrameTimeouts.DEFAULT, mRegistry)
                .listen("127.0.0.1", 0, this::acceptSession)
                .await()
                .indefinitely();
    }

    /** Waits until the agent has opened a session and acknowledged its configuration. */
    void awaitSession() throws Exception {
        mSessionReady.get(SESSION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Announces the upstream to the agent now and every two seconds.
     *
     * @param port announcement port of the agent
     */
    void startAnnouncing(int port) {
        HttpClient client = mVertx.createHttpClient();
        announceOnce(client, port);
        mVertx.setPeriodic(ANNOUNCE_INTERVAL_MILLIS, ignored -> announceOnce(client, port));
    }

    /**
     * Opens the connection on which requests are sent to the agent.
     *
     * @param dataPort data port of the agent
     */
    void connectToAgent(int dataPort) {
        Hello hello = new Hello(DaemonRole.ENTRY, ENTRY, 1, new DataCentreId("quito-a"), 1, 1);
        mDataConnection =
                new FrameClient(mVertx, FrameTimeouts.DEFAULT, mRegistry)
                        .connect("127.0.0.1", dataPort, hello)
                        .await()
                        .indefinitely();
        mDataConnection.messageHandler(this::onDataMessage);
    }

    /**
     * Sends requests at a fixed rate until the timer is cancelled; returns the identifier of the
     * timer.
     */
    long startLoad(int requestsPerSecond) {
        return mVertx.setPeriodic(1000 / requestsPerSecond, ignored -> sendRequest());
    }

    void stopLoad(long timerId) {
        mVertx.cancelTimer(timerId);
    }

    /** Returns the number of bytes of control messages sent and received so far. */
    long controlBytes() {
        return mCounters.bytes(TrafficClass.CONTROL);
    }

    /** Returns the latencies of answered requests. */
    Histogram latencyMicros() {
        return mLatencyMicros;
    }

    /**
     * Returns the number of messages of the agent that are not part of an answer, such as refusals.
     */
    int unansweredRequests() {
        return mUnansweredRequests;
    }

    void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private void acceptSession(FrameConnection connection) {
        connection.messageHandler(message -> onControlMessage(connection, message));
    }

    /** Grants the session, sends a configuration and acknowledges heartbeats. */
    private void onControlMessage(FrameConnection connection, Message message) {
        switch (message) {
            case SessionOpen open -> {
                connection.send(new SessionGrant(0, 1, 30_000));
                connection.send(new ConfigPush(1, List.of(), "{}"));
            }
            case Heartbeat heartbeat ->
                    connection.send(new HeartbeatAck(heartbeat.seq(), heartbeat.epoch(), 1));
            case ConfigAck ack -> mSessionReady.complete(null);
            default -> {}
        }
    }

    private void announceOnce(HttpClient client, int port) {
        String body =
                "{\"service\":\"preview\",\"address\":\"127.0.0.1:%d\",\"slots\":8,"
                        + "\"connections\":64,\"state\":\"ready\"}";
        client.request(HttpMethod.POST, port, "127.0.0.1", "/v1/announce")
                .compose(
                        request ->
                                request.send(Buffer.buffer(body.formatted(mUpstream.actualPort()))))
                .compose(response -> response.body())
                .onSuccess(answer -> logRejection(answer.toString()))
                .onFailure(e -> LOG.warn("[bench] cannot announce the upstream to the agent", e));
    }

    /** Logs the answer to a refused announcement. The answer to an accepted one is empty. */
    private static void logRejection(String answer) {
        if (!answer.isEmpty()) {
            LOG.warn("[bench] the agent refused the announcement of the upstream: {}", answer);
        }
    }

    private void sendRequest() {
        long id = mNextRequestId++;
        mSentNanos[(int) (id % mSentNanos.length)] = System.nanoTime();
        mDataConnection.send(
                new Request(
                        id,
                        "entry-1-" + id,
                        "",
                        id % 2 == 0,
                        "preview",
                        id % 2 == 0 ? "GET" : "POST",
                        "/allocations?window=7",
                        List.of(new HeaderField("Accept", "application/json")),
                        new byte[200],
                        10_000,
                        false,
                        "c-" + id));
    }

    private void onDataMessage(Message message) {
        if (message instanceof ResponseEnd end) {
            long sent = mSentNanos[(int) (end.id() % mSentNanos.length)];
            mLatencyMicros.recordValue((System.nanoTime() - sent) / 1000);
        } else if (!message.getClass().getSimpleName().startsWith("Response")) {
            if (mUnansweredRequests++ == 0) {
                LOG.warn("[bench] first message that is not an answer: {}", message);
            }
        }
    }
}
