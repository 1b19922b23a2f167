package org.knapweedbank.entry.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedbank.config.ServiceSettings;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.entry.CallerLimits;
import org.knapweedbank.entry.ClaimService;
import org.knapweedbank.entry.EntrySettings;
import org.knapweedbank.entry.ListenAddress;
import org.knapweedbank.entry.upstream.RoutingState;
import org.knapweedbank.entry.upstream.UpstreamKey;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.routing.UpstreamId;
import org.knapweedbank.store.claim.Claim;
import org.knapweedbank.store.claim.ClaimRequest;
import org.knapweedbank.store.claim.ClaimResult;
import org.knapweedbank.store.claim.ClaimState;
import org.knapweedbank.time.SystemClock;
import org.knapweedbank.wire.AnswerQuery;
import org.knapweedbank.wire.Cancel;
import org.knapweedbank.wire.FrameConnection;
import org.knapweedbank.wire.HeaderField;
import org.knapweedbank.wire.NotRun;
import org.knapweedbank.wire.OutcomeUnknown;
import org.knapweedbank.wire.Request;
import org.knapweedbank.wire.ResponseEnd;
import org.knapweedbank.wire.StreamMoved;
import org.knapweedbank.wire.UpstreamRecord;

/** Tests the HTTP contract with callers, over real connections to fake agents. */
@Timeout(60)
class CallerListenerTest {
    private static final long TIMEOUT_SECONDS = 20;
    private static final ListenAddress ANY_PORT = new ListenAddress("127.0.0.1", 0);

    private final Vertx mVertx = Vertx.vertx();
    private final HttpClient mClient = mVertx.createHttpClient();
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final FakeAgent mFirst = new FakeAgent("a", mVertx);
    private final FakeAgent mSecond = new FakeAgent("b", mVertx);
    private final FakeClaimService mClaimService = new FakeClaimService();
    private final Context mRoutingLoop = mVertx.getOrCreateContext();
    private RoutingState mRouting;
    private CallerListener mListener;
    private int mPort;

    /** Response of the listener. */
    private record Response(int status, String body, HttpClientResponse httpResponse) {
        String outcome() {
            return new JsonObject(body).getString("outcome");
        }
    }

    /** Claim service that returns the result set by the test. */
    private static final class FakeClaimService implements ClaimService {
        private volatile ClaimResult mResult =
                new ClaimResult.Granted(new Claim("/kwb/claim/k", "attempt", "a", 0));
        private final AtomicInteger mReleaseCount = new AtomicInteger();

        @Override
        public Uni<ClaimResult> claim(ClaimRequest request) {
            return Uni.createFrom().item(mResult);
        }

        @Override
        public Uni<Boolean> release(Claim claim) {
            mReleaseCount.incrementAndGet();
            return Uni.createFrom().item(true);
        }
    }

    @BeforeEach
    void start() throws Exception {
        EntrySettings settings =
                new EntrySettings(
                        new DaemonId("entry"),
                        1,
                        new DataCentreId("dc"),
                        "127.0.0.1",
                        ANY_PORT,
                        ANY_PORT,
                        ANY_PORT,
                        CallerLimits.DEFAULT,
                        Duration.ZERO,
                        Duration.ofSeconds(5),
                        7);
        CompletableFuture<Integer> port = new CompletableFuture<>();
        mRoutingLoop.runOnContext(
                ignored -> {
                    mRouting = new RoutingState(settings, mVertx, new SystemClock(), mRegistry);
                    mListener =
                            new CallerListener(
                                    settings,
                                    mVertx,
                                    new SystemClock(),
                                    mRegistry,
                                    mRouting,
                                    mClaimService);
                    mListener
                            .listen()
                            .subscribe()
                            .with(port::complete, port::completeExceptionally);
                });
        mPort = port.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() throws Exception {
        runOnRoutingLoop(() -> mRouting.close());
        mVertx.close()
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "-",
            textBlock =
                    """
                    GET   | /s/echo/x?y=1   | -                          | 200 | -
                    POST  | /s/echo/x       | -                          | 200 | -
                    GET   | /s/echo         | -                          | 200 | -
                    GET   | /s/echo?y=1     | -                          | 200 | -
                    GET   | /health         | -                          | 200 | -
                    GET   | /metrics        | -                          | 200 | -
                    GET   | /other          | -                          | 404 | not-run
                    GET   | /s/none/x       | -                          | 404 | not-run
                    GET   | /s/             | -                          | 400 | not-run
                    GET   | /s/UPPER/x      | -                          | 400 | not-run
                    GET   | /s/echo/../x    | -                          | 400 | not-run
                    GET   | /s/echo/%2e%2E/ | -                          | 400 | not-run
                    TRACE | /s/echo/x       | -                          | 405 | not-run
                    GET   | /s/echo/x       | X-Deadline-Ms: 0           | 400 | not-run
                    GET   | /s/echo/x       | X-Deadline-Ms: -5          | 400 | not-run
                    GET   | /s/echo/x       | X-Deadline-Ms: soon        | 400 | not-run
                    GET   | /s/echo/x       | X-Deadline-Ms: 600001      | 400 | not-run
                    GET   | /s/echo/x       | X-Deadline-Ms: 9e18        | 400 | not-run
                    POST  | /s/echo/x       | Idempotency-Key: a b       | 400 | not-run
                    POST  | /s/strict/x     | -                          | 400 | not-run
                    GET   | /s/echo/x       | X-Correlation-Id: a"b      | 400 | not-run
                    GET   | /s/echo/x       | X-Correlation-Id: order-7  | 200 | -
                    POST  | /s/strict/x     | Idempotency-Key: k         | 503 | not-run
                    """)
    void respondsAccordingToHttpContract(
            String method, String path, String header, int status, String outcome)
            throws Exception {
        configure();
        Response response = call(method, path, header, "");
        assertThat(response.status()).isEqualTo(status);
        if (outcome != null) {
            assertThat(response.outcome()).isEqualTo(outcome);
            assertThat(response.httpResponse().getHeader("Content-Type"))
                    .isEqualTo("application/problem+json");
        }
    }

    @Test
    void forwardsMethodPathBodyAndCorrelationId() throws Exception {
        configure();
        Response response = call("PUT", "/s/echo/a%20b?c=d", "X-Correlation-Id: order-7", "text");
        assertThat(response.body()).isEqualTo("PUT /a%20b?c=d text");
        assertThat(response.httpResponse().getHeader("X-Correlation-Id")).isEqualTo("order-7");
        Request request = awaitMessage(mFirst, Request.class);
        assertThat(request.correlationId()).isEqualTo("order-7");
        assertThat(request.headers().stream().map(field -> field.name().toLowerCase()).toList())
                .containsNoneOf("host", "content-length", "connection");
        assertThat(request.deadlineMillis()).isAtMost(10_000);
    }

    @Test
    void rejectsRequestsWithoutConfiguration() throws Exception {
        Response health = call("GET", "/health", null, "");
        Response response = call("GET", "/s/echo/x", null, "");
        assertThat(health.status()).isEqualTo(503);
        assertThat(response.status()).isEqualTo(503);
        assertThat(response.outcome()).isEqualTo("not-run");
        assertThat(response.httpResponse().getHeader("Retry-After")).isEqualTo("1");
    }

    @Test
    void rejectsTooLargeBody() throws Exception {
        configure();
        String body = "x".repeat(CallerLimits.LARGEST_BODY_BYTES + 1);
        Response response = call("POST", "/s/echo/x", null, body);
        assertThat(response.status()).isEqualTo(413);
        assertThat(response.outcome()).isEqualTo("not-run");
        assertThat(mFirst.mReceivedMessages).isEmpty();
    }

    @Test
    void rejectsTooManyHeaders() throws Exception {
        configure();
        String headers = "a: b\n".repeat(65).trim();
        Response response = call("GET", "/s/echo/x", headers, "");
        assertThat(response.status()).isEqualTo(431);
        assertThat(response.outcome()).isEqualTo("not-run");
    }

    @Test
    void leavingUpstreamReceivesNoRequests() throws Exception {
        configure();
        runOnRoutingLoop(() -> mRouting.putRecord(mFirst.upstreamRecord(true, 2)));
        Response response = call("GET", "/s/echo/x", null, "");
        assertThat(response.status()).isEqualTo(503);
        assertThat(response.outcome()).isEqualTo("not-run");
        assertThat(mFirst.mReceivedMessages).isEmpty();
    }

    /**
     * Guards against a retry of a non-idempotent request that may have run before the connection to
     * the agent was lost.
     */
    @Test
    void lostConnectionLeavesPostOutcomeUnknownWithoutRetry() throws Exception {
        configure();
        addSecondUpstream();
        BiConsumer<FrameConnection, Request> closeConnection =
                (connection, request) -> connection.close();
        mFirst.setRequestHandler(closeConnection);
        mSecond.setRequestHandler(closeConnection);
        Response post = call("POST", "/s/echo/x", null, "");
        assertThat(post.status()).isEqualTo(502);
        assertThat(post.outcome()).isEqualTo("unknown");
        assertThat(mFirst.mReceivedMessages.size() + mSecond.mReceivedMessages.size()).isEqualTo(1);
    }

    @Test
    void notRunRequestIsRetriedOnlyIfIdempotent() throws Exception {
        configure();
        addSecondUpstream();
        AtomicInteger runs = new AtomicInteger();
        BiConsumer<FrameConnection, Request> handler =
                (connection, request) -> {
                    if (runs.getAndIncrement() == 0) {
                        connection.send(new NotRun(request.id(), "queue full", FakeAgent.LOAD));
                    } else {
                        FakeAgent.echo(connection, request);
                    }
                };
        mFirst.setRequestHandler(handler);
        mSecond.setRequestHandler(handler);
        assertThat(call("GET", "/s/echo/x", null, "").status()).isEqualTo(200);
        runs.set(0);
        Response post = call("POST", "/s/echo/x", null, "");
        assertThat(post.status()).isEqualTo(503);
        assertThat(post.outcome()).isEqualTo("not-run");
        assertThat(runs.get()).isEqualTo(1);
    }

    /** Guards against a truncated response that looks complete to the caller. */
    @Test
    void truncatedResponseIsReportedAsUnknown() throws Exception {
        configure();
        mFirst.setRequestHandler(
                (connection, request) -> {
                    connection.send(FakeAgent.head(request, false));
                    connection.send(FakeAgent.chunk(request, 0, "half"));
                    connection.send(new ResponseEnd(request.id(), 1, 8, FakeAgent.LOAD));
                });
        Response response = call("POST", "/s/echo/x", null, "");
        assertThat(response.status()).isEqualTo(502);
        assertThat(response.outcome()).isEqualTo("unknown");
    }

    @Test
    void truncatedLargeResponseClosesConnection() throws Exception {
        configure();
        mFirst.setRequestHandler(
                (connection, request) -> {
                    connection.send(FakeAgent.head(request, false));
                    connection.send(FakeAgent.chunk(request, 0, "x".repeat(200_000)));
                    connection.send(new ResponseEnd(request.id(), 2, 400_000, FakeAgent.LOAD));
                    connection.close();
                });
        CompletableFuture<Response> response = send("POST", "/s/echo/x", null, "");
        Throwable failure =
                response.handle((ignored, error) -> error).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertWithMessage("failure").that(failure).isNotNull();
    }

    @Test
    void unavailableStoreRejectsOnlyKeyedNonIdempotentRequests() throws Exception {
        configure();
        mClaimService.mResult = new ClaimResult.Unavailable("the store does not answer");
        Response keyed = call("POST", "/s/echo/x", "Idempotency-Key: k", "");
        assertThat(keyed.status()).isEqualTo(503);
        assertThat(keyed.outcome()).isEqualTo("not-run");
        assertThat(call("POST", "/s/echo/x", null, "").status()).isEqualTo(200);
        assertThat(call("PUT", "/s/echo/x", "Idempotency-Key: k", "").status()).isEqualTo(200);
    }

    @Test
    void claimIsReleasedOnlyIfRequestDidNotRun() throws Exception {
        configure();
        mFirst.setRequestHandler(
                (connection, request) ->
                        connection.send(new NotRun(request.id(), "busy", FakeAgent.LOAD)));
        Response response = call("POST", "/s/echo/x", "Idempotency-Key: k", "");
        assertThat(response.outcome()).isEqualTo("not-run");
        assertThat(mClaimService.mReleaseCount.get()).isEqualTo(1);
        mFirst.setRequestHandler(
                (connection, request) ->
                        connection.send(new OutcomeUnknown(request.id(), "?", FakeAgent.LOAD)));
        response = call("POST", "/s/echo/x", "Idempotency-Key: k", "");
        assertThat(response.outcome()).isEqualTo("unknown");
        assertThat(mClaimService.mReleaseCount.get()).isEqualTo(1);
    }

    /** Guards against a second execution of a request that repeats an idempotency key. */
    @Test
    void repeatedKeyQueriesRecordedResponse() throws Exception {
        configure();
        mClaimService.mResult = new ClaimResult.AlreadyClaimed("earlier", "a", ClaimState.CLAIMED);
        CompletableFuture<Response> response =
                send("POST", "/s/echo/x", "Idempotency-Key: k\nX-Deadline-Ms: 300", "");
        AnswerQuery query = awaitMessage(mFirst, AnswerQuery.class);
        assertThat(query.attemptId()).isEqualTo("earlier");
        assertThat(query.idempotencyKey()).isEqualTo("k");
        assertThat(response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).outcome()).isEqualTo("unknown");
    }

    @Test
    void callerDisconnectCancelsAttempt() throws Exception {
        configure();
        mFirst.setRequestHandler((connection, request) -> {});
        CompletableFuture<Response> response = send("GET", "/s/echo/x", null, "");
        Request request = awaitMessage(mFirst, Request.class);
        mClient.close();
        assertThat(awaitMessage(mFirst, Cancel.class).id()).isEqualTo(request.id());
        assertThat(
                        response.handle((ignored, error) -> error)
                                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                .isNotNull();
    }

    /**
     * Guards against a stream that ends, or repeats or truncates an event, when its upstream leaves
     * in the middle of an event.
     */
    @Test
    void movedStreamResumesAfterLastCompleteEvent() throws Exception {
        configure();
        mFirst.setRequestHandler(
                (connection, request) -> {
                    connection.send(FakeAgent.head(request, true));
                    connection.send(FakeAgent.chunk(request, 0, "id: 1\ndata: one\n\nid: 2\nda"));
                    connection.send(new StreamMoved(request.id()));
                });
        mSecond.setRequestHandler(
                (connection, request) -> {
                    String text = "id: 2\ndata: two\n\n";
                    connection.send(FakeAgent.head(request, true));
                    connection.send(FakeAgent.chunk(request, 0, text));
                    connection.send(
                            new ResponseEnd(request.id(), 1, text.length(), FakeAgent.LOAD));
                });
        CompletableFuture<Response> response =
                send("GET", "/s/echo/watch", "Accept: text/event-stream", "");
        awaitMessage(mFirst, Request.class);
        addSecondUpstream();
        String body = response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).body();
        assertThat(body).isEqualTo("id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
        assertThat(awaitMessage(mSecond, Request.class).headers())
                .contains(new HeaderField("Last-Event-ID", "1"));
    }

    @Test
    void stoppingRejectsNewRequestsAndFinishesOpenOnes() throws Exception {
        configure();
        BlockingQueue<Runnable> heldRequests = new LinkedBlockingQueue<>();
        mFirst.setRequestHandler(
                (connection, request) ->
                        heldRequests.add(() -> FakeAgent.echo(connection, request)));
        CompletableFuture<Response> openRequest = send("GET", "/s/echo/x", null, "");
        Runnable completeRequest = heldRequests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        CompletableFuture<Void> idle = new CompletableFuture<>();
        runOnRoutingLoop(
                () -> {
                    mListener.failHealth();
                    mListener.stopAccepting();
                    mListener.whenIdle(() -> idle.complete(null));
                });
        assertThat(call("GET", "/health", null, "").status()).isEqualTo(503);
        assertThat(call("GET", "/s/echo/x", null, "").outcome()).isEqualTo("not-run");
        assertThat(idle.isDone()).isFalse();
        completeRequest.run();
        assertThat(openRequest.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).status()).isEqualTo(200);
        idle.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void configure() throws Exception {
        Set<String> idempotent = Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");
        List<ServiceSettings> services =
                List.of(
                        new ServiceSettings("echo", 100, 10_000, 100, idempotent, false),
                        new ServiceSettings("strict", 100, 10_000, 100, idempotent, true));
        SiteConfiguration site =
                new SiteConfiguration(1, "test", 1, List.of(), services, List.of(), List.of());
        runOnRoutingLoop(() -> mRouting.configure(site));
        addUpstream(mFirst);
    }

    private void addSecondUpstream() throws Exception {
        addUpstream(mSecond);
    }

    /** Adds the agent's upstream and waits until the data connection is open. */
    private void addUpstream(FakeAgent agent) throws Exception {
        UpstreamRecord record = agent.upstreamRecord(false, 1);
        UpstreamId id = UpstreamKey.of(record).id();
        AtomicBoolean available = new AtomicBoolean();
        runOnRoutingLoop(() -> mRouting.putRecord(record));
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!available.get()) {
            assertThat(System.nanoTime() - deadlineNanos).isLessThan(0L);
            runOnRoutingLoop(() -> available.set(mRouting.isAvailable("echo", id)));
        }
    }

    private void runOnRoutingLoop(Runnable action) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mRoutingLoop.runOnContext(
                ignored -> {
                    action.run();
                    done.complete(null);
                });
        done.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private Response call(String method, String path, String headers, String body)
            throws Exception {
        return send(method, path, headers, body).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private CompletableFuture<Response> send(
            String method, String path, String headers, String body) {
        RequestOptions options =
                new RequestOptions()
                        .setHost("127.0.0.1")
                        .setPort(mPort)
                        .setMethod(HttpMethod.valueOf(method))
                        .setURI(path);
        List<String> lines = headers == null ? List.of() : List.of(headers.split("\n"));
        CompletableFuture<Response> response = new CompletableFuture<>();
        // Runs on an event loop, because the response body is lost if its handler is set too late.
        mVertx.runOnContext(
                ignored ->
                        mClient.request(options)
                                .compose(request -> send(request, lines, body))
                                .onSuccess(response::complete)
                                .onFailure(response::completeExceptionally));
        return response;
    }

    private static Future<Response> send(
            HttpClientRequest request, List<String> lines, String body) {
        for (String line : lines) {
            String[] field = line.split(": ", 2);
            request.headers().add(field[0], field[1]);
        }
        return request.send(Buffer.buffer(body))
                .compose(
                        response ->
                                response.body()
                                        .map(
                                                text ->
                                                        new Response(
                                                                response.statusCode(),
                                                                text.toString(),
                                                                response)));
    }

    private static <T> T awaitMessage(FakeAgent agent, Class<T> type) throws Exception {
        List<Object> skipped = new ArrayList<>();
        while (true) {
            Object message = agent.mReceivedMessages.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertWithMessage("expected %s after %s", type, skipped).that(message).isNotNull();
            if (type.isInstance(message)) {
                return type.cast(message);
            }
            skipped.add(message);
        }
    }
}
