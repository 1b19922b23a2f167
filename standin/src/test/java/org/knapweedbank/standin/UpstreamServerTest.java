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
    private final HttpClient mHttp = HttpClient.newHttpClient();
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
        mHttp.close();
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
        return mHttp.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest.Builder admin(String path, String body) {
        return request(mUpstream.adminPort(), path).POST(HttpRequest.BodyPublishers.ofString(body));
    }

    /** Guards against executions that are not recorded, which would hide a repeated request. */
    @Test
    void recordsNonIdempotentExecutions() throws Exception {
        for (String body : List.of("{\"token\":\"t1\"}", "t2")) {
            HttpRequest.Builder hold =
                    request(mUpstream.port(), "/hold")
                            .header("Idempotency-Key", "k")
                            .POST(HttpRequest.BodyPublishers.ofString(body));
            assertThat(send(hold).statusCode()).isEqualTo(200);
        }
        String record = send(request(mUpstream.adminPort(), "/admin/executions")).body();
        assertThat(record).contains("\"idempotencyKey\":\"k\",\"token\":\"t1\"");
        assertThat(record).contains("\"idempotencyKey\":\"k\",\"token\":\"t2\"");
        assertThat(record).contains("\"count\":2");
    }

    /** Guards against an answer that belongs to another request, or is cut short. */
    @Test
    void answersCarryTheirToken() throws Exception {
        HttpResponse<String> answer =
                send(request(mUpstream.port(), "/work?token=abc&bytes=100000"));
        assertThat(answer.body()).contains("\"token\":\"abc\"");
        assertThat(answer.body().length()).isGreaterThan(100_000);
    }

    /** Guards against more requests at a time than there are slots. */
    @Test
    void slotsAreBounded() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            HttpRequest work = request(mUpstream.port(), "/work?millis=300").build();
            answers.add(mHttp.sendAsync(work, HttpResponse.BodyHandlers.ofString()));
        }
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            answer.get(10, TimeUnit.SECONDS);
        }
        UpstreamStatistics.Snapshot snapshot = mUpstream.statistics().snapshot();
        assertThat(snapshot.mostRunning()).isAtMost(2);
        assertThat(snapshot.count() + snapshot.refused()).isEqualTo(5);
    }

    /** Guards against a stream that starts again instead of continuing. */
    @Test
    void streamsContinueAfterTheLastEvent() throws Exception {
        HttpRequest events =
                request(mUpstream.port(), "/events").header("Last-Event-ID", "41").build();
        HttpResponse<InputStream> answer =
                mHttp.send(events, HttpResponse.BodyHandlers.ofInputStream());
        try (BufferedReader reader =
                new BufferedReader(new InputStreamReader(answer.body(), StandardCharsets.UTF_8))) {
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

    /** Guards against an upstream that is not announced, or leaves without saying so. */
    @Test
    void announcesItselfAndItsLeave() throws Exception {
        String expected =
                "/v1/announce {\"service\":\"holds\",\"address\":\"127.0.0.1:"
                        + mUpstream.port()
                        + "\",\"slots\":2,\"connections\":64,\"state\":\"%s\"}";
        String ready = expected.formatted("ready");
        assertThat(mAnnouncements.poll(10, TimeUnit.SECONDS)).isEqualTo(ready);
        assertThat(mAnnouncements.poll(10, TimeUnit.SECONDS)).isEqualTo(ready);
        assertThat(send(admin("/admin/leave", "")).statusCode()).isEqualTo(200);
        String last = ready;
        while (last != null && last.equals(ready)) {
            last = mAnnouncements.poll(10, TimeUnit.SECONDS);
        }
        assertThat(last).isEqualTo(expected.formatted("leaving"));
        await(mUpstream.termination());
    }

    /** Guards against an upgrade to HTTP/2, in which an answer is lost when the upstream leaves. */
    @Test
    void answersAnOfferedUpgradeInHttp11() throws Exception {
        HttpRequest.Builder settings = admin("/admin/settings", "{}");
        assertThat(send(settings).version()).isEqualTo(HttpClient.Version.HTTP_1_1);
        HttpRequest.Builder work = request(mUpstream.port(), "/work");
        assertThat(send(work).version()).isEqualTo(HttpClient.Version.HTTP_1_1);
    }

    /** Guards against a leave that breaks off a request in flight. */
    @Test
    void leaveWaitsForRequestsInFlight() throws Exception {
        send(admin("/admin/settings", "{\"serviceMillis\":200}"));
        CompletableFuture<HttpResponse<String>> answer =
                mHttp.sendAsync(
                        request(mUpstream.port(), "/work?token=x").build(),
                        HttpResponse.BodyHandlers.ofString());
        while (mUpstream.statistics().running() == 0 && !answer.isDone()) {
            Thread.onSpinWait();
        }
        await(mUpstream.leave());
        assertThat(answer.get(10, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
        assertThat(mUpstream.statistics().snapshot().brokenOff()).isEqualTo(0);
    }
}
