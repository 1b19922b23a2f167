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
    private static final Duration LIMIT = Duration.ofSeconds(10);
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

    /** Runs a server that does the same with each connection once a request has arrived. */
    private static int server(Consumer<NetSocket> action) throws Exception {
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

    private static String answer(int status, String body, int announced) {
        return "HTTP/1.1 " + status + " X\r\nContent-Length: " + announced + "\r\n\r\n" + body;
    }

    private static String kind(StoreResult<?> result) {
        return result.getClass().getSimpleName();
    }

    /** Guards against failures of one kind being reported as another. */
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
    void failuresAreClassified(String failure, String ofWrite, String ofRead) throws Exception {
        int port = server(socket -> act(socket, failure));
        Duration timeout = Duration.ofMillis(failure.equals("silent") ? 200 : 10_000);
        try (EtcdGatewayStore store = store(port, timeout)) {
            assertThat(kind(store.transact(WRITE).await().atMost(LIMIT))).isEqualTo(ofWrite);
            assertThat(kind(store.get("/a").await().atMost(LIMIT))).isEqualTo(ofRead);
            assertThat(kind(store.grantLease(LIMIT).await().atMost(LIMIT))).isEqualTo(ofWrite);
        }
    }

    private static void act(NetSocket socket, String failure) {
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
            case "truncated" -> socket.end(Buffer.buffer(answer(200, "{\"header\":", 500)));
            case "oversized" -> socket.write(answer(200, "x".repeat(2000), 2000));
            case "not JSON" -> socket.write(answer(200, "<html>", 6));
            case "not HTTP" -> socket.end(Buffer.buffer("hello\r\n\r\n"));
            case "plain 500" -> socket.write(answer(500, "oops", 4));
            case "not found" -> socket.write(answer(404, "Not Found", 9));
            case "time limit", "no leader" -> socket.write(answer(503, body, body.length()));
            case "bad argument" -> socket.write(answer(400, body, body.length()));
            default -> socket.write(answer(429, body, body.length()));
        }
    }

    /** Guards against a refused connection being reported as an unknown outcome. */
    @Test
    void refusedConnectionIsUnavailable() throws Exception {
        NetServer server = sVertx.createNetServer().connectHandler(NetSocket::close);
        int port =
                server.listen(0, "127.0.0.1")
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(10, TimeUnit.SECONDS)
                        .actualPort();
        server.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        try (EtcdGatewayStore store = store(port, LIMIT)) {
            assertThat(kind(store.transact(WRITE).await().atMost(LIMIT))).isEqualTo("Unavailable");
        }
    }

    /** Guards against a call after the end of the adapter that never completes. */
    @Test
    void closedAdapterIsUnavailable() throws Exception {
        EtcdGatewayStore store = store(server(socket -> {}), LIMIT);
        store.close();
        assertThat(kind(store.transact(WRITE).await().atMost(LIMIT))).isEqualTo("Unavailable");
    }

    /** Guards against calls under way at the end of the adapter that never complete. */
    @Test
    void callsUnderWayEndWithTheAdapter() throws Exception {
        EtcdGatewayStore store = store(server(socket -> {}), LIMIT);
        List<CompletableFuture<StoreResult<KeyRange>>> calls = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            calls.add(store.get("/a").subscribeAsCompletionStage());
        }
        store.close();
        for (CompletableFuture<StoreResult<KeyRange>> call : calls) {
            assertThat(kind(call.get(10, TimeUnit.SECONDS))).isEqualTo("Unavailable");
        }
    }
}
