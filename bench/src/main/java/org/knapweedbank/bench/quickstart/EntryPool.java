package org.knapweedbank.bench.quickstart;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Selects entries as a load balancer does: probes their health periodically and skips unhealthy
 * ones.
 */
final class EntryPool {
    private static final long PROBE_INTERVAL_MILLIS = 100;

    private final HttpClient mClient;
    private final List<Integer> mPorts;

    /** Result of the latest probe of each port. */
    private final Map<Integer, Boolean> mHealthByPort = new ConcurrentHashMap<>();

    private int mNextIndex;

    EntryPool(Vertx vertx, HttpClient client, List<Integer> ports) {
        mClient = client;
        mPorts = List.copyOf(ports);
        vertx.setPeriodic(1, PROBE_INTERVAL_MILLIS, id -> mPorts.forEach(this::probe));
    }

    private void probe(int port) {
        mClient.request(HttpMethod.GET, port, "127.0.0.1", "/health")
                .compose(request -> request.send())
                .onComplete(
                        result ->
                                mHealthByPort.put(
                                        port,
                                        result.succeeded() && result.result().statusCode() == 200));
    }

    /** Returns the ports of the entries whose latest probe succeeded. */
    List<Integer> healthyPorts() {
        return mPorts.stream().filter(port -> mHealthByPort.getOrDefault(port, false)).toList();
    }

    /** Returns the port of the next healthy entry in rotation, or 0 if there is none. */
    int nextHealthyPort() {
        List<Integer> healthyPorts = healthyPorts();
        mNextIndex++;
        return healthyPorts.isEmpty()
                ? 0
                : healthyPorts.get(Math.floorMod(mNextIndex, healthyPorts.size()));
    }
}
