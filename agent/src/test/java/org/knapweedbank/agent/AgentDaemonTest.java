package org.knapweedbank.agent;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetServer;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.time.SystemClock;
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
import org.knapweedbank.wire.NotRun;
import org.knapweedbank.wire.OutcomeUnknown;
import org.knapweedbank.wire.Request;
import org.knapweedbank.wire.ResponseChunk;
import org.knapweedbank.wire.ResponseEnd;
import org.knapweedbank.wire.ResponseHead;
import org.knapweedbank.wire.SessionGrant;
import org.knapweedbank.wire.SessionOpen;
import org.knapweedbank.wire.StreamMoved;

/**
 * Tests a complete agent over loopback sockets; the test acts as the entry and as the upstreams.
 */
class AgentDaemonTest {
    private static final DaemonId ENTRY = new DaemonId("entry-1");

    private final BlockingQueue<Message> mControlMessages = new LinkedBlockingQueue<>();
    private final BlockingQueue<Message> mDataMessages = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> mUpstreamRequests = new LinkedBlockingQueue<>();
    private Vertx mVertx;
    private FrameServer mEntryServer;
    private AgentDaemon mAgent;
    private FrameConnection mDataConnection;
    private long mLastRequestId;

    @BeforeEach
    void start() throws Exception {
        mVertx = Vertx.vertx();
        MetricRegistry registry = new MetricRegistry();
        mEntryServer = new FrameServer(mVertx, ENTRY, 1, FrameTimeouts.DEFAULT, registry);
        int port = mEntryServer.listen("127.0.0.1", 0, this::acceptAgent).await().indefinitely();
        AgentSettings settings =
                new AgentSettings(
                        new DaemonId("agent-1"),
                        ControlFixture.settings().vm(),
                        "ec",
                        ControlFixture.DATA_CENTRE,
                        "r1",
                        ControlFixture.SIZE,
                        "127.0.0.1",
                        0,
                        0,
                        List.of("127.0.0.1:" + port));
        mAgent = new AgentDaemon(settings, mVertx, new SystemClock(), new FakeWorker(), registry);
        mAgent.start().await().indefinitely();
        await(mControlMessages, ConfigAck.class);
        Hello hello = new Hello(DaemonRole.ENTRY, ENTRY, 1, new DataCentreId("a"), 1, 1);
        mDataConnection =
                new FrameClient(mVertx, FrameTimeouts.DEFAULT, registry)
                        .connect("127.0.0.1", mAgent.dataPort(), hello)
                        .await()
                        .indefinitely();
        mDataConnection.messageHandler(mDataMessages::add);
    }

    @AfterEach
    void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /**
     * Guards against a body, header or correlation identifier that is lost between entry and
     * upstream.
     */
    @Test
    void forwardsRequestAndAnswer() throws Exception {
        announce(
                listenUpstream("HTTP/1.1 201 Created\r\nX-A: b\r\nContent-Length: 5\r\n\r\nhello"),
                204);
        request("POST", "/path?q=1", "body");
        ResponseHead head = await(mDataMessages, ResponseHead.class);
        assertThat(head.status()).isEqualTo(201);
        assertThat(head.headers()).contains(new HeaderField("X-A", "b"));
        assertThat(await(mDataMessages, ResponseChunk.class).bytes()).isEqualTo("hello".getBytes());
        assertThat(await(mDataMessages, ResponseEnd.class).bytes()).isEqualTo(5);
        String seen = mUpstreamRequests.poll(10, TimeUnit.SECONDS);
        assertThat(seen).startsWith("POST /path?q=1 HTTP/1.1");
        assertThat(seen).contains("X-Correlation-Id: c-1");
        assertThat(seen).contains("X-Test: yes");
        assertThat(seen).doesNotContain("Upgrade");
    }

    /**
     * Guards against an incomplete answer that is reported as complete, for any place at which the
     * upstream breaks off or violates HTTP.
     */
    @Test
    void incompleteAnswerEndsWithUnknownOutcome() throws Exception {
        List<String> incompleteAnswers =
                List.of(
                        "",
                        "HTTP/1.1 20",
                        "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello",
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n",
                        "HTTP/1.1 200 OK\r\n\r\nhello",
                        "nonsense\r\n\r\n");
        for (String answer : incompleteAnswers) {
            NetServer upstream = listenUpstream(answer);
            announce(upstream, 204);
            request("GET", "/", "");
            Message last = endOfAnswer();
            assertWithMessage("answer <%s>", answer).that(last).isInstanceOf(OutcomeUnknown.class);
            announce(upstream, 204, "leaving");
        }
    }

    /**
     * Guards against a refused connection that is not reported as not run, which would prevent a
     * safe retry.
     */
    @Test
    void refusedConnectionIsNotRun() throws Exception {
        NetServer upstream = listenUpstream("");
        announce(upstream, 204);
        upstream.close().toCompletionStage().toCompletableFuture().join();
        request("POST", "/", "x");
        assertThat(endOfAnswer()).isInstanceOf(NotRun.class);
    }

    /** Guards against invalid announcements and requests that the announcement listener accepts. */
    @Test
    void refusesInvalidAnnouncements() throws Exception {
        String validBody =
                "{\"service\":\"svc\",\"address\":\"127.0.0.1:9\",\"slots\":8,"
                        + "\"connections\":64,\"state\":\"ready\"}";
        assertThat(post(validBody)).isEqualTo(204);
        List<String> invalidBodies =
                List.of(
                        "",
                        "[]",
                        "{",
                        validBody + validBody,
                        validBody.replace("svc", "s/v"),
                        validBody.replace("127.0.0.1:9", "127.0.0.1"),
                        validBody.replace("127.0.0.1:9", "127.0.0.1:99999"),
                        validBody.replace(":8", ":0"),
                        validBody.replace(":8", ":8.5"),
                        validBody.replace(":64", ":4"),
                        validBody.replace("ready", "busy"),
                        "[".repeat(3000));
        for (String body : invalidBodies) {
            assertWithMessage(body).that(post(body)).isEqualTo(400);
        }
        assertThat(post(" ".repeat(AnnounceServer.MAX_BODY_BYTES + 1))).isEqualTo(413);
        assertThat(status(HttpMethod.GET, AnnounceServer.PATH, "")).isEqualTo(405);
        assertThat(status(HttpMethod.POST, "/other", validBody)).isEqualTo(404);
    }

    /** Guards against an announced upstream that is not reported to the owner. */
    @Test
    void announcedUpstreamIsReportedToOwner() throws Exception {
        NetServer upstream = listenUpstream("");
        announce(upstream, 204);
        Heartbeat heartbeat;
        do {
            heartbeat = await(mControlMessages, Heartbeat.class);
        } while (heartbeat.upstreams().isEmpty());
        assertThat(heartbeat.upstreams().get(0).address()).isEqualTo(address(upstream));
    }

    /**
     * Guards against a stop that drops an event stream instead of moving it, or that does not
     * report the upstreams as leaving.
     */
    @Test
    void stopMovesStreamsAndReportsLeavingUpstreams() throws Exception {
        announce(
                listenUpstream(
                        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n3\r\n:\n\n\r\n",
                        false),
                204);
        request("GET", "/watch", "");
        assertThat(await(mDataMessages, ResponseHead.class).stream()).isTrue();
        await(mDataMessages, ResponseChunk.class);
        mAgent.stop().await().indefinitely();
        await(mDataMessages, StreamMoved.class);
        Heartbeat heartbeat;
        do {
            heartbeat = await(mControlMessages, Heartbeat.class);
        } while (heartbeat.upstreams().isEmpty() || !heartbeat.upstreams().get(0).leaving());
    }

    private void acceptAgent(FrameConnection connection) {
        connection.messageHandler(
                message -> {
                    mControlMessages.add(message);
                    if (message instanceof SessionOpen) {
                        connection.send(new SessionGrant(0, 1, 30_000));
                        connection.send(new ConfigPush(1, List.of(), "{}"));
                    } else if (message instanceof Heartbeat heartbeat) {
                        connection.send(new HeartbeatAck(heartbeat.seq(), 1, 1));
                    }
                });
    }

    private NetServer listenUpstream(String answer) {
        return listenUpstream(answer, true);
    }

    /** Opens an upstream that replies to each request with fixed bytes. */
    private NetServer listenUpstream(String answer, boolean closeAfterAnswer) {
        return join(
                () ->
                        mVertx.createNetServer()
                                .connectHandler(
                                        socket ->
                                                socket.handler(
                                                        bytes -> {
                                                            mUpstreamRequests.add(bytes.toString());
                                                            socket.write(answer);
                                                            if (closeAfterAnswer) {
                                                                socket.close();
                                                            }
                                                        }))
                                .listen(0, "127.0.0.1"));
    }

    private void announce(NetServer upstream, int expected) {
        announce(upstream, expected, "ready");
    }

    private void announce(NetServer upstream, int expected, String state) {
        String body =
                "{\"service\":\"svc\",\"address\":\"%s\",\"slots\":8,\"connections\":64,"
                        + "\"state\":\"%s\"}";
        assertThat(post(body.formatted(address(upstream), state))).isEqualTo(expected);
    }

    private static String address(NetServer server) {
        return "127.0.0.1:" + server.actualPort();
    }

    private int post(String body) {
        return status(HttpMethod.POST, AnnounceServer.PATH, body);
    }

    private int status(HttpMethod method, String path, String body) {
        HttpClientResponse response =
                join(
                        () ->
                                mVertx.createHttpClient()
                                        .request(method, mAgent.announcePort(), "127.0.0.1", path)
                                        .compose(r -> r.send(Buffer.buffer(body))));
        return response.statusCode();
    }

    private void request(String method, String path, String body) {
        mLastRequestId++;
        mDataConnection.send(
                new Request(
                        mLastRequestId,
                        "a" + mLastRequestId,
                        "",
                        false,
                        "svc",
                        method,
                        path,
                        List.of(
                                new HeaderField("X-Test", "yes"),
                                new HeaderField("Upgrade", "h2c")),
                        body.getBytes(),
                        10_000,
                        false,
                        "c-1"));
    }

    private Message endOfAnswer() throws InterruptedException {
        while (true) {
            Message message = mDataMessages.poll(10, TimeUnit.SECONDS);
            assertThat(message).isNotNull();
            if (!(message instanceof ResponseHead || message instanceof ResponseChunk)) {
                return message;
            }
        }
    }

    private static <T extends Message> T await(BlockingQueue<Message> queue, Class<T> type)
            throws InterruptedException {
        while (true) {
            Message message = queue.poll(10, TimeUnit.SECONDS);
            assertWithMessage("no %s arrived", type.getSimpleName()).that(message).isNotNull();
            if (type.isInstance(message)) {
                return type.cast(message);
            }
        }
    }

    private static <T> T join(Supplier<Future<T>> future) {
        return future.get().toCompletionStage().toCompletableFuture().join();
    }
}
