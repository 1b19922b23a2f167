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
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.etcd.EtcdGatewayStore;
import org.knapweedbank.store.etcd.EtcdSettings;
import org.knapweedbank.time.ManualClock;

class EtcdGatewayStoreTest extends KeyValueStoreContract {
    private static Vertx sVertx;

    @BeforeAll
    static void startVertx() {
        sVertx = Vertx.vertx();
    }

    @AfterAll
    static void stopVertx() throws Exception {
        sVertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private static EtcdSettings settings(List<String> endpoints) {
        return new EtcdSettings(
                endpoints,
                Duration.ofSeconds(5),
                Duration.ofSeconds(10),
                4 * 1024 * 1024,
                Duration.ofMillis(10));
    }

    @Override
    StoreFixture open() {
        ManualClock clock = new ManualClock();
        InMemoryStore backend = new InMemoryStore(clock);
        EtcdGatewayServer server = new EtcdGatewayServer(sVertx, backend, "127.0.0.1", 0);
        server.start();
        EtcdGatewayStore store =
                new EtcdGatewayStore(sVertx, settings(List.of("127.0.0.1:" + server.port())));
        return new StoreFixture() {
            @Override
            public KeyValueStore store() {
                return store;
            }

            @Override
            public InMemoryStore backend() {
                return backend;
            }

            @Override
            public ManualClock clock() {
                return clock;
            }

            @Override
            public void close() {
                store.close();
                server.close();
            }
        };
    }

    /** Guards against calls that fail although only one of several endpoints is down. */
    @Test
    void callFailsOverToAnotherEndpoint() {
        InMemoryStore backend = new InMemoryStore(new ManualClock());
        EtcdGatewayServer closed = new EtcdGatewayServer(sVertx, backend, "127.0.0.1", 0);
        closed.start();
        closed.close();
        EtcdGatewayServer open = new EtcdGatewayServer(sVertx, backend, "127.0.0.1", 0);
        open.start();
        List<String> endpoints = List.of("127.0.0.1:" + closed.port(), "127.0.0.1:" + open.port());
        try (EtcdGatewayStore store = new EtcdGatewayStore(sVertx, settings(endpoints))) {
            assertThat(
                            store.transact(transactionOf(put("/a", "1")))
                                    .await()
                                    .atMost(Duration.ofSeconds(10)))
                    .isInstanceOf(StoreResult.Succeeded.class);
        }
        open.close();
    }

    /** Guards against an admin interface that does not set faults or does not count calls. */
    @Test
    void adminInterfaceSetsFaultsAndReturnsCounters() throws Exception {
        ManualClock clock = new ManualClock();
        InMemoryStore backend = new InMemoryStore(clock);
        try (StoreAdminServer admin = new StoreAdminServer(sVertx, backend, clock);
                HttpClient client = HttpClient.newHttpClient()) {
            int port =
                    admin.start("127.0.0.1", 0)
                            .toCompletionStage()
                            .toCompletableFuture()
                            .get(10, TimeUnit.SECONDS);
            String base = "http://127.0.0.1:" + port + "/admin/";
            String faults =
                    "{\"lose\":{\"kind\":\"WRITE\",\"point\":\"AFTER_EFFECT\",\"count\":1}}";
            assertThat(post(client, base + "faults", faults).statusCode()).isEqualTo(200);
            assertThat(backend.transact(transactionOf(put("/a", "1"))).await().indefinitely())
                    .isInstanceOf(StoreResult.Unknown.class);
            assertThat(post(client, base + "faults", "{\"down\":true}").statusCode())
                    .isEqualTo(200);
            assertThat(backend.get("/a").await().indefinitely())
                    .isInstanceOf(StoreResult.Unavailable.class);
            assertThat(post(client, base + "faults", "[").statusCode()).isEqualTo(400);
            clock.advance(Duration.ofSeconds(2));
            HttpRequest read = HttpRequest.newBuilder(URI.create(base + "counters")).build();
            String counters = client.send(read, HttpResponse.BodyHandlers.ofString()).body();
            assertThat(counters).contains("\"WRITE\":1");
            assertThat(counters).contains("\"writesPerSecond\":0.5");
        }
    }

    private static HttpResponse<String> post(HttpClient client, String uri, String body)
            throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(uri))
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
