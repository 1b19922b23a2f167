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

/** Guards the HTTP contract with callers over real connections to fake agents. */
@Timeout(60)
class CallerListenerTest {
    private static final long WAIT_SECONDS = 20;
    private static final ListenAddress ANY = new ListenAddress("127.0.0.1", 0);

    private final Vertx mVertx = Vertx.vertx();
    private final HttpClient mClient = mVertx.createHttpClient();
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final FakeAgent mFirst = new FakeAgent("a", mVertx);
    private final FakeAgent mSecond = new FakeAgent("b", mVertx);
    private final FakeClaims mClaims = new FakeClaims();
    private final Context mContext = mVertx.getOrCreateContext();
    private RoutingState mRouting;
    private CallerListener mListener;
    private int mPort;

    /** Answer of the listener. */
    private record Answer(int status, String body, HttpClientResponse response) {
        String outcome() {
            return new JsonObject(body).getString("outcome");
        }
    }

    /** Claims with a result set by the test. */
    private static final class FakeClaims implements ClaimService {
        private volatile ClaimResult mResult =
                new ClaimResult.Granted(new Claim("/kwb/claim/k", "attempt", "a", 0));
        private final AtomicInteger mReleased = new AtomicInteger();

        @Override
        public Uni<ClaimResult> claim(ClaimRequest request) {
            return Uni.createFrom().item(mResult);
        }

        @Override
        public Uni<Boolean> release(Claim claim) {
            mReleased.incrementAndGet();
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
                        ANY,
                        ANY,
                        ANY,
                        CallerLimits.DEFAULT,
                        Duration.ZERO,
                        Duration.ofSeconds(5),
                        7);
        CompletableFuture<Integer> port = new CompletableFuture<>();
        mContext.runOnContext(
                ignored -> {
                    mRouting = new RoutingState(settings, mVertx, new SystemClock(), mRegistry);
                    mListener =
                            new CallerListener(
                                    settings,
                                    mVertx,
                                    new SystemClock(),
                                    mRegistry,
                                    mRouting,
                                    mClaims);
                    mListener
                            .listen()
                            .subscribe()
                            .with(port::complete, port::completeExceptionally);
                });
        mPort = port.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() throws Exception {
        onLoop(() -> mRouting.close());
        mVertx.close()
                .toCompletionStage()
                .toCompletableFuture()
                .get(WAIT_SECONDS, TimeUnit.SECONDS);
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
    void contract(String method, String path, String header, int status, String outcome)
            throws Exception {
        configure();
        Answer answer = call(method, path, header, "");
        assertThat(answer.status()).isEqualTo(status);
        if (outcome != null) {
            assertThat(answer.outcome()).isEqualTo(outcome);
            assertThat(answer.response().getHeader("Content-Type"))
                    .isEqualTo("application/problem+json");
        }
    }

    @Test
    void answersPassMethodPathBodyAndCorrelationId() throws Exception {
        configure();
        Answer answer = call("PUT", "/s/echo/a%20b?c=d", "X-Correlation-Id: order-7", "text");
        assertThat(answer.body()).isEqualTo("PUT /a%20b?c=d text");
        assertThat(answer.response().getHeader("X-Correlation-Id")).isEqualTo("order-7");
        Request request = next(mFirst, Request.class);
        assertThat(request.correlationId()).isEqualTo("order-7");
        assertThat(request.headers().stream().map(f -> f.name().toLowerCase()).toList())
                .containsNoneOf("host", "content-length", "connection");
        assertThat(request.deadlineMillis()).isAtMost(10_000);
    }

    @Test
    void withoutConfigurationNothingIsServed() throws Exception {
        Answer health = call("GET", "/health", null, "");
        Answer answer = call("GET", "/s/echo/x", null, "");
        assertThat(health.status()).isEqualTo(503);
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.outcome()).isEqualTo("not-run");
        assertThat(answer.response().getHeader("Retry-After")).isEqualTo("1");
    }

    @Test
    void tooLargeBodyIsRefused() throws Exception {
        configure();
        String body = "x".repeat(CallerLimits.LARGEST_BODY_BYTES + 1);
        Answer answer = call("POST", "/s/echo/x", null, body);
        assertThat(answer.status()).isEqualTo(413);
        assertThat(answer.outcome()).isEqualTo("not-run");
        assertThat(mFirst.mReceived).isEmpty();
    }

    @Test
    void tooManyHeadersAreRefused() throws Exception {
        configure();
        String headers = "a: b\n".repeat(65).trim();
        Answer answer = call("GET", "/s/echo/x", headers, "");
        assertThat(answer.status()).isEqualTo(431);
        assertThat(answer.outcome()).isEqualTo("not-run");
    }

    @Test
    void leavingUpstreamGetsNoWork() throws Exception {
        configure();
        onLoop(() -> mRouting.putRecord(mFirst.record(true, 2)));
        Answer answer = call("GET", "/s/echo/x", null, "");
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.outcome()).isEqualTo("not-run");
        assertThat(mFirst.mReceived).isEmpty();
    }

    /** Guards against a second run of a request that may have run. */
    @Test
    void brokenConnectionIsUnknownForPostAndRetriedForGet() throws Exception {
        configure();
        addSecond();
        BiConsumer<FrameConnection, Request> breaking = (connection, request) -> connection.close();
        mFirst.script(breaking);
        mSecond.script(breaking);
        Answer post = call("POST", "/s/echo/x", null, "");
        assertThat(post.status()).isEqualTo(502);
        assertThat(post.outcome()).isEqualTo("unknown");
        assertThat(mFirst.mReceived.size() + mSecond.mReceived.size()).isEqualTo(1);
    }

    @Test
    void notRunFromAgentIsRetriedForGetOnly() throws Exception {
        configure();
        addSecond();
        AtomicInteger runs = new AtomicInteger();
        BiConsumer<FrameConnection, Request> script =
                (connection, request) -> {
                    if (runs.getAndIncrement() == 0) {
                        connection.send(new NotRun(request.id(), "queue full", FakeAgent.LOAD));
                    } else {
                        FakeAgent.answer(connection, request);
                    }
                };
        mFirst.script(script);
        mSecond.script(script);
        assertThat(call("GET", "/s/echo/x", null, "").status()).isEqualTo(200);
        runs.set(0);
        Answer post = call("POST", "/s/echo/x", null, "");
        assertThat(post.status()).isEqualTo(503);
        assertThat(post.outcome()).isEqualTo("not-run");
        assertThat(runs.get()).isEqualTo(1);
    }

    /** Guards against a truncated answer that looks complete to the caller. */
    @Test
    void truncatedAnswerIsNotComplete() throws Exception {
        configure();
        mFirst.script(
                (connection, request) -> {
                    connection.send(FakeAgent.head(request, false));
                    connection.send(FakeAgent.chunk(request, 0, "half"));
                    connection.send(new ResponseEnd(request.id(), 1, 8, FakeAgent.LOAD));
                });
        Answer answer = call("POST", "/s/echo/x", null, "");
        assertThat(answer.status()).isEqualTo(502);
        assertThat(answer.outcome()).isEqualTo("unknown");
    }

    @Test
    void largeTruncatedAnswerBreaksTheConnection() throws Exception {
        configure();
        mFirst.script(
                (connection, request) -> {
                    connection.send(FakeAgent.head(request, false));
                    connection.send(FakeAgent.chunk(request, 0, "x".repeat(200_000)));
                    connection.send(new ResponseEnd(request.id(), 2, 400_000, FakeAgent.LOAD));
                    connection.close();
                });
        CompletableFuture<Answer> answer = send("POST", "/s/echo/x", null, "");
        Throwable failure = answer.handle((a, e) -> e).get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertWithMessage("failure").that(failure).isNotNull();
    }

    @Test
    void storeDownRefusesKeyedRequestsOnly() throws Exception {
        configure();
        mClaims.mResult = new ClaimResult.Unavailable("the store does not answer");
        Answer keyed = call("POST", "/s/echo/x", "Idempotency-Key: k", "");
        assertThat(keyed.status()).isEqualTo(503);
        assertThat(keyed.outcome()).isEqualTo("not-run");
        assertThat(call("POST", "/s/echo/x", null, "").status()).isEqualTo(200);
        assertThat(call("PUT", "/s/echo/x", "Idempotency-Key: k", "").status()).isEqualTo(200);
    }

    @Test
    void notRunReleasesTheClaim() throws Exception {
        configure();
        mFirst.script(
                (connection, request) ->
                        connection.send(new NotRun(request.id(), "busy", FakeAgent.LOAD)));
        Answer answer = call("POST", "/s/echo/x", "Idempotency-Key: k", "");
        assertThat(answer.outcome()).isEqualTo("not-run");
        assertThat(mClaims.mReleased.get()).isEqualTo(1);
        mFirst.script(
                (connection, request) ->
                        connection.send(new OutcomeUnknown(request.id(), "?", FakeAgent.LOAD)));
        answer = call("POST", "/s/echo/x", "Idempotency-Key: k", "");
        assertThat(answer.outcome()).isEqualTo("unknown");
        assertThat(mClaims.mReleased.get()).isEqualTo(1);
    }

    /** Guards against a repeat of a key that runs again. */
    @Test
    void repeatedKeyAsksForTheRecordedAnswer() throws Exception {
        configure();
        mClaims.mResult = new ClaimResult.AlreadyClaimed("earlier", "a", ClaimState.CLAIMED);
        CompletableFuture<Answer> answer =
                send("POST", "/s/echo/x", "Idempotency-Key: k\nX-Deadline-Ms: 300", "");
        AnswerQuery query = next(mFirst, AnswerQuery.class);
        assertThat(query.attemptId()).isEqualTo("earlier");
        assertThat(query.idempotencyKey()).isEqualTo("k");
        assertThat(answer.get(WAIT_SECONDS, TimeUnit.SECONDS).outcome()).isEqualTo("unknown");
    }

    @Test
    void callerThatLeavesCancels() throws Exception {
        configure();
        mFirst.script((connection, request) -> {});
        CompletableFuture<Answer> answer = send("GET", "/s/echo/x", null, "");
        Request request = next(mFirst, Request.class);
        mClient.close();
        assertThat(next(mFirst, Cancel.class).id()).isEqualTo(request.id());
        assertThat(answer.handle((a, e) -> e).get(WAIT_SECONDS, TimeUnit.SECONDS)).isNotNull();
    }

    /** Guards against a stream that ends, repeats or cuts an event when its upstream leaves. */
    @Test
    void streamContinuesAfterTheLastWholeEvent() throws Exception {
        configure();
        mFirst.script(
                (connection, request) -> {
                    connection.send(FakeAgent.head(request, true));
                    connection.send(FakeAgent.chunk(request, 0, "id: 1\ndata: one\n\nid: 2\nda"));
                    connection.send(new StreamMoved(request.id()));
                });
        mSecond.script(
                (connection, request) -> {
                    String text = "id: 2\ndata: two\n\n";
                    connection.send(FakeAgent.head(request, true));
                    connection.send(FakeAgent.chunk(request, 0, text));
                    connection.send(
                            new ResponseEnd(request.id(), 1, text.length(), FakeAgent.LOAD));
                });
        CompletableFuture<Answer> answer =
                send("GET", "/s/echo/watch", "Accept: text/event-stream", "");
        next(mFirst, Request.class);
        addSecond();
        String body = answer.get(WAIT_SECONDS, TimeUnit.SECONDS).body();
        assertThat(body).isEqualTo("id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
        assertThat(next(mSecond, Request.class).headers())
                .contains(new HeaderField("Last-Event-ID", "1"));
    }

    @Test
    void stoppingRefusesNewAndFinishesOpenRequests() throws Exception {
        configure();
        BlockingQueue<Runnable> held = new LinkedBlockingQueue<>();
        mFirst.script((connection, r) -> held.add(() -> FakeAgent.answer(connection, r)));
        CompletableFuture<Answer> open = send("GET", "/s/echo/x", null, "");
        Runnable finish = held.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        CompletableFuture<Void> idle = new CompletableFuture<>();
        onLoop(
                () -> {
                    mListener.failHealth();
                    mListener.stopAccepting();
                    mListener.whenIdle(() -> idle.complete(null));
                });
        assertThat(call("GET", "/health", null, "").status()).isEqualTo(503);
        assertThat(call("GET", "/s/echo/x", null, "").outcome()).isEqualTo("not-run");
        assertThat(idle.isDone()).isFalse();
        finish.run();
        assertThat(open.get(WAIT_SECONDS, TimeUnit.SECONDS).status()).isEqualTo(200);
        idle.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private void configure() throws Exception {
        Set<String> idempotent = Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");
        List<ServiceSettings> services =
                List.of(
                        new ServiceSettings("echo", 100, 10_000, 100, idempotent, false),
                        new ServiceSettings("strict", 100, 10_000, 100, idempotent, true));
        SiteConfiguration site =
                new SiteConfiguration(1, "test", 1, List.of(), services, List.of(), List.of());
        onLoop(() -> mRouting.configure(site));
        add(mFirst);
    }

    private void addSecond() throws Exception {
        add(mSecond);
    }

    /** Adds an upstream and waits until its data connection is open. */
    private void add(FakeAgent agent) throws Exception {
        UpstreamRecord record = agent.record(false, 1);
        UpstreamId id = UpstreamKey.of(record).id();
        AtomicBoolean available = new AtomicBoolean();
        onLoop(() -> mRouting.putRecord(record));
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!available.get()) {
            assertThat(System.nanoTime() - deadline).isLessThan(0L);
            onLoop(() -> available.set(mRouting.isAvailable("echo", id)));
        }
    }

    private void onLoop(Runnable action) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        mContext.runOnContext(
                ignored -> {
                    action.run();
                    done.complete(null);
                });
        done.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private Answer call(String method, String path, String headers, String body) throws Exception {
        return send(method, path, headers, body).get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private CompletableFuture<Answer> send(
            String method, String path, String headers, String body) {
        RequestOptions options =
                new RequestOptions()
                        .setHost("127.0.0.1")
                        .setPort(mPort)
                        .setMethod(HttpMethod.valueOf(method))
                        .setURI(path);
        List<String> lines = headers == null ? List.of() : List.of(headers.split("\n"));
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        // On an event loop, as the body of an answer is lost when its handler is set too late.
        mVertx.runOnContext(
                ignored ->
                        mClient.request(options)
                                .compose(request -> send(request, lines, body))
                                .onSuccess(answer::complete)
                                .onFailure(answer::completeExceptionally));
        return answer;
    }

    private static Future<Answer> send(HttpClientRequest request, List<String> lines, String body) {
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
                                                        new Answer(
                                                                response.statusCode(),
                                                                text.toString(),
                                                                response)));
    }

    private static <T> T next(FakeAgent agent, Class<T> type) throws Exception {
        List<Object> others = new ArrayList<>();
        while (true) {
            Object message = agent.mReceived.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            assertWithMessage("expected %s after %s", type, others).that(message).isNotNull();
            if (type.isInstance(message)) {
                return type.cast(message);
            }
            others.add(message);
        }
    }
}
