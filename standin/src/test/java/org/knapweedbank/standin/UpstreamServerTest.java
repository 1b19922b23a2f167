package org.knapweedbank.standin;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.io.BufferedReader;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedbank.time.SystemClock;

class UpstreamServerTest {
    private final HttpClient mHttpClient = HttpClient.newHttpClient();
    private final BlockingQueue<String> mAnnouncements = new LinkedBlockingQueue<>();
    private Vertx mVertx;
    private UpstreamServer mUpstream;

    @BeforeEach
    void start() throws Exception {
        mVertx = Vertx.vertx();
        HttpServer agent = mVertx.createHttpServer();
        agent.requestHandler(
                request ->
                        request.bodyHandler(
                                body -> {
                                    mAnnouncements.add(request.path() + " " + body);
                                    request.response().setStatusCode(204).end();
                                }));
        int agentPort = await(agent.listen(0, "127.0.0.1")).actualPort();
        UpstreamSettings settings =
                new UpstreamSettings(
                        "holds",
                        "u1",
                        "127.0.0.1",
                        0,
                        0,
                        2,
                        64,
                        Duration.ZERO,
                        Duration.ofMillis(1),
                        "127.0.0.1:" + agentPort,
                        Duration.ofMillis(20),
                        Duration.ofMillis(1));
        mUpstream = new UpstreamServer(mVertx, settings, new SystemClock());
        await(mUpstream.start());
    }

    @AfterEach
    void stop() throws Exception {
        mHttpClient.close();
        mUpstream.close();
        await(mVertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private HttpRequest.Builder request(int port, String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path));
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return mHttpClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest.Builder adminPost(String path, String body) {
        return request(mUpstream.adminPort(), path).POST(HttpRequest.BodyPublishers.ofString(body));
    }

    /** Guards against unrecorded executions, which would hide a repeated request. */
    @Test
    void recordsNonIdempotentExecutions() throws Exception {
        for (String body : List.of("{\"token\":\"t1\"}", "t2")) {
            HttpRequest.Builder hold =
                    request(mUpstream.port(), "/hold")
                            .header("Idempotency-Key", "k")
                            .POST(HttpRequest.BodyPublishers.ofString(body));
            assertThat(send(hold).statusCode()).isEqualTo(200);
        }
        String executions = send(request(mUpstream.adminPort(), "/admin/executions")).body();
        assertThat(executions).contains("\"idempotencyKey\":\"k\",\"token\":\"t1\"");
        assertThat(executions).contains("\"idempotencyKey\":\"k\",\"token\":\"t2\"");
        assertThat(executions).contains("\"count\":2");
    }

    /** Guards against a response that belongs to another request or is truncated. */
    @Test
    void responseCarriesTheTokenOfItsRequest() throws Exception {
        HttpResponse<String> response =
                send(request(mUpstream.port(), "/work?token=abc&bytes=100000"));
        assertThat(response.body()).contains("\"token\":\"abc\"");
        assertThat(response.body().length()).isGreaterThan(100_000);
    }

    /** Guards against more concurrent requests than there are slots. */
    @Test
    void concurrentRequestsAreLimitedToSlots() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            HttpRequest work = request(mUpstream.port(), "/work?millis=300").build();
            responses.add(mHttpClient.sendAsync(work, HttpResponse.BodyHandlers.ofString()));
        }
        for (CompletableFuture<HttpResponse<String>> response : responses) {
            response.get(10, TimeUnit.SECONDS);
        }
        UpstreamStatistics.Snapshot snapshot = mUpstream.statistics().snapshot();
        assertThat(snapshot.mostRunning()).isAtMost(2);
        assertThat(snapshot.count() + snapshot.refused()).isEqualTo(5);
    }

    /** Guards against an event stream that restarts instead of continuing. */
    @Test
    void streamContinuesAfterLastEventId() throws Exception {
        HttpRequest events =
                request(mUpstream.port(), "/events").header("Last-Event-ID", "41").build();
        HttpResponse<InputStream> response =
                mHttpClient.send(events, HttpResponse.BodyHandlers.ofInputStream());
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(response.body(), StandardCharsets.UTF_8))) {
            List<String> lines = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                lines.add(reader.readLine());
            }
            assertThat(lines)
                    .containsExactly(
                            "id: 42",
                            "data: event 42 of u1",
                            "",
                            "id: 43",
                            "data: event 43 of u1",
                            "")
                    .inOrder();
        }
    }

    /** Guards against an upstream that is not announced, or that leaves without announcing it. */
    @Test
    void announcesItselfAndItsLeave() throws Exception {
        String expected =
                "/v1/announce {\"service\":\"holds\",\"address\":\"127.0.0.1:"
                        + mUpstream.port()
                        + "\",\"slots\":2,\"connections\":64,\"state\":\"%s\"}";
        String ready = expected.formatted("ready");
        assertThat(mAnnouncements.poll(10, TimeUnit.SECONDS)).isEqualTo(ready);
        assertThat(mAnnouncements.poll(10, TimeUnit.SECONDS)).isEqualTo(ready);
        assertThat(send(adminPost("/admin/leave", "")).statusCode()).isEqualTo(200);
        String announcement = ready;
        while (announcement != null && announcement.equals(ready)) {
            announcement = mAnnouncements.poll(10, TimeUnit.SECONDS);
        }
        assertThat(announcement).isEqualTo(expected.formatted("leaving"));
        await(mUpstream.termination());
    }

    /**
     * Guards against an upgrade to HTTP/2, with which a response may be lost when the upstream
     * leaves.
     */
    @Test
    void offeredHttp2UpgradeIsIgnored() throws Exception {
        HttpRequest.Builder settings = adminPost("/admin/settings", "{}");
        assertThat(send(settings).version()).isEqualTo(HttpClient.Version.HTTP_1_1);
        HttpRequest.Builder work = request(mUpstream.port(), "/work");
        assertThat(send(work).version()).isEqualTo(HttpClient.Version.HTTP_1_1);
    }

    /** Guards against a leave that aborts a request in flight. */
    @Test
    void leaveWaitsForRequestsInFlight() throws Exception {
        send(adminPost("/admin/settings", "{\"serviceMillis\":200}"));
        CompletableFuture<HttpResponse<String>> response =
                mHttpClient.sendAsync(
                        request(mUpstream.port(), "/work?token=x").build(),
                        HttpResponse.BodyHandlers.ofString());
        while (mUpstream.statistics().running() == 0 && !response.isDone()) {
            Thread.onSpinWait();
        }
        await(mUpstream.leave());
        assertThat(response.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
        assertThat(mUpstream.statistics().snapshot().brokenOff()).isEqualTo(0);
    }
}
