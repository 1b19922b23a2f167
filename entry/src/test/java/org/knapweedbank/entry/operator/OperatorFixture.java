package org.knapweedbank.entry.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.knapweedbank.config.ConfigurationStore;
import org.knapweedbank.config.StoreConfigurationSource;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.standin.InMemoryStore;
import org.knapweedbank.store.cache.StorePrefixView;
import org.knapweedbank.time.ManualClock;
import org.knapweedbank.wire.DaemonRole;
import org.knapweedbank.wire.DaemonStatus;

/** Operator routes served on the loopback interface, with an in-memory store and fake jobs. */
final class OperatorFixture implements AutoCloseable {
    static final String KEY = "0123456789abcdef-ana";
    static final String DOCUMENT =
            """
            {"site": "s", "dataCentres": {"a": {"region": "r"}, "b": {"region": "r"}},
             "teams": {"t": {"deserved": {"milliCpu": 1, "memoryMb": 1}}}}
            """;

    private final ManualClock mClock = new ManualClock();
    private final InMemoryStore mStore = new InMemoryStore(mClock);
    private final FakeJobs mJobs = new FakeJobs();
    private final FakeForwarder mForwarder = new FakeForwarder();
    private final Vertx mVertx = Vertx.vertx();
    private final HttpClient mClient = HttpClient.newHttpClient();
    private final OperatorRoutes mRoutes;
    private final int mPort;

    OperatorFixture(Path directory) throws Exception {
        Path keys = directory.resolve("keys");
        Files.writeString(keys, "# operators\nana:" + KEY + "\nben: 0123456789abcdef-ben\n");
        StorePrefixView view = new StorePrefixView(mStore, "/kwb/c/", mClock);
        StoreConfigurationSource source = new StoreConfigurationSource(view, mStore);
        view.start();
        source.start();
        mRoutes =
                new OperatorRoutes(
                        OperatorKeys.read(keys),
                        new OperatorRoutes.Dependencies(
                                "entry-1",
                                new ConfigurationStore(mStore, mClock, "entry-1/1"),
                                source,
                                mJobs,
                                mForwarder,
                                () -> Uni.createFrom().item(daemons()),
                                mClock));
        Router router = Router.router(mVertx);
        mRoutes.mount(router);
        HttpServer server =
                mVertx.createHttpServer()
                        .requestHandler(router)
                        .listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get();
        mPort = server.actualPort();
    }

    private static List<DaemonStatus> daemons() {
        DataCentreId dataCentre = new DataCentreId("a");
        return List.of(
                new DaemonStatus(
                        new DaemonId("entry-1"),
                        DaemonRole.ENTRY,
                        dataCentre,
                        1,
                        1,
                        true,
                        "h:1",
                        List.of()),
                new DaemonStatus(
                        new DaemonId("agent-1"),
                        DaemonRole.AGENT,
                        dataCentre,
                        1,
                        0,
                        true,
                        "h:2",
                        List.of()));
    }

    InMemoryStore store() {
        return mStore;
    }

    FakeJobs jobs() {
        return mJobs;
    }

    FakeForwarder forwarder() {
        return mForwarder;
    }

    OperatorRoutes routes() {
        return mRoutes;
    }

    /** Sends a request without a key, unless the headers (name, value, ...) contain one. */
    HttpResponse<String> call(String method, String path, String body, String... headers)
            throws IOException, InterruptedException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + mPort + path))
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return mClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a request with a valid key. */
    HttpResponse<String> authorized(String method, String path, String body)
            throws IOException, InterruptedException {
        return call(method, path, body, "Authorization", "Bearer " + KEY);
    }

    /** Sends raw bytes of a request and returns everything received until the connection closes. */
    String sendRaw(String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", mPort)) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    static JsonNode json(HttpResponse<String> response) throws IOException {
        return new ObjectMapper().readTree(response.body());
    }

    @Override
    public void close() {
        mClient.close();
        mRoutes.close();
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
