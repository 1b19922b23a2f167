package org.knapweedbank.store.etcd;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.Transaction;

class EtcdGatewayFailureTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final Transaction WRITE =
            Transaction.of(new Operation.Put("/a", new byte[1], 0));
    private static Vertx sVertx;

    @BeforeAll
    static void startVertx() {
        sVertx = Vertx.vertx();
    }

    @AfterAll
    static void stopVertx() throws Exception {
        sVertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    /** Starts a server that runs an action on each connection on which a request arrives. */
    private static int startServer(Consumer<NetSocket> action) throws Exception {
        NetServer server = sVertx.createNetServer();
        server.connectHandler(socket -> socket.handler(request -> action.accept(socket)));
        return server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS)
                .actualPort();
    }

    private static EtcdGatewayStore store(int port, Duration callTimeout) {
        return new EtcdGatewayStore(
                sVertx,
                new EtcdSettings(
                        List.of("127.0.0.1:" + port),
                        Duration.ofSeconds(5),
                        callTimeout,
                        1000,
                        Duration.ofSeconds(1)));
    }

    private static String httpResponse(int status, String body, int contentLength) {
        return "HTTP/1.1 " + status + " X\r\nContent-Length: " + contentLength + "\r\n\r\n" + body;
    }

    private static String resultKind(StoreResult<?> result) {
        return result.getClass().getSimpleName();
    }

    /**
     * Fails if a failure is reported as the wrong kind of result, for example if a write that may
     * have taken effect is reported as unavailable.
     */
    @ParameterizedTest
    @CsvSource({
        "closed, Unknown, Unavailable",
        "silent, Unknown, Unavailable",
        "truncated, Unknown, Unavailable",
        "oversized, Unknown, Unavailable",
        "not JSON, Unknown, Unavailable",
        "not HTTP, Unknown, Unavailable",
        "time limit, Unknown, Unavailable",
        "plain 500, Unknown, Unavailable",
        "no leader, Unavailable, Unavailable",
        "bad argument, Rejected, Rejected",
        "too many, Rejected, Rejected",
        "not found, Rejected, Rejected"
    })
    void reportsFailureByWhetherCallMayHaveTakenEffect(
            String failure, String writeResult, String readResult) throws Exception {
        int port = startServer(socket -> respond(socket, failure));
        Duration timeout = Duration.ofMillis(failure.equals("silent") ? 200 : 10_000);
        try (EtcdGatewayStore store = store(port, timeout)) {
            assertThat(resultKind(store.transact(WRITE).await().atMost(TIMEOUT)))
                    .isEqualTo(writeResult);
            assertThat(resultKind(store.get("/a").await().atMost(TIMEOUT))).isEqualTo(readResult);
            assertThat(resultKind(store.grantLease(TIMEOUT).await().atMost(TIMEOUT)))
                    .isEqualTo(writeResult);
        }
    }

    private static void respond(NetSocket socket, String failure) {
        String error = "{\"error\":\"%s\",\"code\":%d,\"message\":\"%1$s\"}";
        String body =
                switch (failure) {
                    case "time limit" -> error.formatted("etcdserver: request timed out", 14);
                    case "no leader" -> error.formatted("etcdserver: no leader", 14);
                    case "bad argument" -> error.formatted("duplicate key given", 3);
                    case "too many" -> error.formatted("etcdserver: too many requests", 8);
                    default -> "";
                };
        switch (failure) {
            case "closed" -> socket.close();
            case "silent" -> {}
            case "truncated" -> socket.end(Buffer.buffer(httpResponse(200, "{\"header\":", 500)));
            case "oversized" -> socket.write(httpResponse(200, "x".repeat(2000), 2000));
            case "not JSON" -> socket.write(httpResponse(200, "<html>", 6));
            case "not HTTP" -> socket.end(Buffer.buffer("hello\r\n\r\n"));
            case "plain 500" -> socket.write(httpResponse(500, "oops", 4));
            case "not found" -> socket.write(httpResponse(404, "Not Found", 9));
            case "time limit", "no leader" -> socket.write(httpResponse(503, body, body.length()));
            case "bad argument" -> socket.write(httpResponse(400, body, body.length()));
            default -> socket.write(httpResponse(429, body, body.length()));
        }
    }

    /** Fails if a refused connection is reported as an unknown outcome. */
    @Test
    void refusedConnectionIsReportedAsUnavailable() throws Exception {
        NetServer server = sVertx.createNetServer().connectHandler(NetSocket::close);
        int port =
                server.listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(10, TimeUnit.SECONDS)
                        .actualPort();
        server.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        try (EtcdGatewayStore store = store(port, TIMEOUT)) {
            assertThat(resultKind(store.transact(WRITE).await().atMost(TIMEOUT)))
                    .isEqualTo("Unavailable");
        }
    }

    /** Fails if a call that is made after the client has been closed never completes. */
    @Test
    void callAfterCloseIsReportedAsUnavailable() throws Exception {
        EtcdGatewayStore store = store(startServer(socket -> {}), TIMEOUT);
        store.close();
        assertThat(resultKind(store.transact(WRITE).await().atMost(TIMEOUT)))
                .isEqualTo("Unavailable");
    }

    /** Fails if calls that are in progress when the client is closed never complete. */
    @Test
    void callsInProgressAreReportedAsUnavailableOnClose() throws Exception {
        EtcdGatewayStore store = store(startServer(socket -> {}), TIMEOUT);
        List<CompletableFuture<StoreResult<KeyRange>>> calls = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            calls.add(store.get("/a").subscribeAsCompletionStage());
        }
        store.close();
        for (CompletableFuture<StoreResult<KeyRange>> call : calls) {
            assertThat(resultKind(call.get(10, TimeUnit.SECONDS))).isEqualTo("Unavailable");
        }
    }
}
