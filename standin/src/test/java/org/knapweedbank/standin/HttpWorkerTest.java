package org.knapweedbank.standin;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Vertx;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.knapweedbank.time.ManualClock;
import org.knapweedbank.worker.HttpWorker;
import org.knapweedbank.worker.HttpWorkerSettings;
import org.knapweedbank.worker.Worker;

class HttpWorkerTest extends WorkerContract {
    private static Vertx sVertx;

    private WorkerServer mServer;

    @BeforeAll
    static void startVertx() {
        sVertx = Vertx.vertx();
    }

    @AfterAll
    static void stopVertx() throws Exception {
        sVertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    @Override
    WorkerFixture open() {
        ManualClock clock = new ManualClock();
        InMemoryWorker backend = new InMemoryWorker(clock, DESCRIPTION);
        WorkerServer server = new WorkerServer(sVertx, backend, "127.0.0.1", 0, 0);
        server.start();
        mServer = server;
        HttpWorker worker =
                new HttpWorker(
                        sVertx,
                        new HttpWorkerSettings(
                                "127.0.0.1",
                                server.port(),
                                Duration.ofSeconds(5),
                                Duration.ofSeconds(10),
                                1024 * 1024));
        return new WorkerFixture() {
            @Override
            public Worker worker() {
                return worker;
            }

            @Override
            public InMemoryWorker backend() {
                return backend;
            }

            @Override
            public ManualClock clock() {
                return clock;
            }

            @Override
            public void close() {
                worker.close();
                server.close();
            }
        };
    }

    private static HttpResponse<String> send(int port, String path, String body) throws Exception {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path));
        if (body != null) {
            request.POST(HttpRequest.BodyPublishers.ofString(body));
        }
        try (HttpClient client = HttpClient.newHttpClient()) {
            return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
        }
    }

    /** Guards against malformed requests that crash the simulated worker or start a task. */
    @Test
    void malformedRequestsAreRefused() throws Exception {
        List<String> bodies =
                List.of(
                        "",
                        "[]",
                        "{",
                        "{}",
                        "{\"task\":\"x\"}",
                        "{\"task\":\"j/0\",\"attempt\":1}",
                        "[".repeat(5000));
        for (String body : bodies) {
            assertThat(send(mServer.port(), "/v1/tasks/start", body).statusCode()).isEqualTo(400);
        }
        assertThat(send(mServer.port(), "/v1/tasks", null).body()).isEqualTo("{\"tasks\":[]}");
    }

    /**
     * Guards against execution records that cannot be read while the port for the agent is closed.
     */
    @Test
    void executionsAreReadableOnAdminPortWhileWorkerIsDown() throws Exception {
        String start =
                "{\"task\":\"job/0\",\"attempt\":1,\"leaseMillis\":30000,\"checkpoint\":\"\","
                        + "\"command\":[\"simulate\",\"--fail\"],"
                        + "\"resources\":{\"milliCpu\":1,\"memoryMb\":1,\"accelerators\":0}}";
        assertThat(send(mServer.port(), "/v1/tasks/start", start).statusCode()).isEqualTo(200);
        assertThat(send(mServer.adminPort(), "/admin/faults", "{\"down\":true}").statusCode())
                .isEqualTo(200);
        String executions = send(mServer.adminPort(), "/admin/executions", null).body();
        assertThat(executions).contains("\"kind\":\"end\"");
        assertThat(executions).contains("\"dataCentre\":\"dc-1\",\"task\":\"job/0\",\"attempt\":1");
    }
}
