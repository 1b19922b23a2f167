package org.knapweedbank.bench.routing;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonObject;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.knapweedbank.bench.Benchmark;
import org.knapweedbank.bench.BenchmarkReport;
import org.knapweedbank.bench.Figure;
import org.knapweedbank.daemon.EmbeddedDaemon;

/**
 * Measures the latency that entry and agent add to an upstream with a service time of 5 ms, at
 * 1,000 requests a second over loopback. Blocks of requests straight to the upstream and blocks
 * through the entry alternate. Load generator, daemon and upstream share one process, so the
 * figures include contention between them.
 */
public final class RoutingOverheadBenchmark implements Benchmark {
    private static final String NAME = "routing.overhead";
    private static final String HOST = "127.0.0.1";
    private static final int CALLER_PORT = 8080;
    private static final int ANNOUNCE_PORT = 7501;
    private static final int SERVICE_TIME_MILLIS = 5;
    private static final int REQUESTS_PER_SECOND = 1_000;
    private static final int WARM_UP_BLOCKS = 10;
    private static final int MEASURED_BLOCKS = 20;
    private static final int STATUS_OK = 200;
    private static final int STATUS_NO_CONTENT = 204;
    private static final long ANNOUNCE_INTERVAL_MILLIS = 2_000;
    private static final long TIMEOUT_SECONDS = 20;

    /** Maximum number of connections of the load generator, and of the agent to the upstream. */
    private static final int MAX_CONNECTIONS = 256;

    private static final String DIRECT_PATH = "/x";
    private static final String ENTRY_PATH = "/s/echo/x";

    private final Vertx mVertx = Vertx.vertx();
    private final HttpClient mClient =
            mVertx.createHttpClient(new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    private final ConcurrentHistogram mDirectNanos = new ConcurrentHistogram(3);
    private final ConcurrentHistogram mEntryNanos = new ConcurrentHistogram(3);

    /**
     * Number of requests that failed or were not answered with 200, and of announcements that were
     * refused.
     */
    private final AtomicInteger mFailures = new AtomicInteger();

    private final AtomicInteger mOpenRequests = new AtomicInteger();

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void run(BenchmarkReport report) throws Exception {
        try (EmbeddedDaemon daemon = new EmbeddedDaemon()) {
            measure(startUpstream(), report);
        } finally {
            mVertx.close();
        }
    }

    private void measure(int port, BenchmarkReport report) throws Exception {
        long timerId = startAnnouncing(port);
        awaitEntry();
        for (int i = 0; i < WARM_UP_BLOCKS; i++) {
            runBlock(port, DIRECT_PATH, mDirectNanos);
            runBlock(CALLER_PORT, ENTRY_PATH, mEntryNanos);
        }
        mDirectNanos.reset();
        mEntryNanos.reset();
        mFailures.set(0);
        for (int i = 0; i < MEASURED_BLOCKS; i++) {
            runBlock(port, DIRECT_PATH, mDirectNanos);
            runBlock(CALLER_PORT, ENTRY_PATH, mEntryNanos);
        }
        mVertx.cancelTimer(timerId);
        report(report);
    }

    private void report(BenchmarkReport report) {
        add(report, "direct.p50", percentileMillis(mDirectNanos, 50), "ms", null, "direct");
        add(report, "direct.p99", percentileMillis(mDirectNanos, 99), "ms", null, "direct");
        add(report, "entry.p50", percentileMillis(mEntryNanos, 50), "ms", null, null);
        add(report, "entry.p99", percentileMillis(mEntryNanos, 99), "ms", null, null);
        add(
                report,
                "added.p50",
                percentileMillis(mEntryNanos, 50) - percentileMillis(mDirectNanos, 50),
                "ms",
                "< 1",
                null);
        add(
                report,
                "added.p99",
                percentileMillis(mEntryNanos, 99) - percentileMillis(mDirectNanos, 99),
                "ms",
                "< 3",
                null);
        add(report, "failed", mFailures.get(), "requests", "= 0", null);
    }

    private static void add(
            BenchmarkReport report,
            String name,
            double value,
            String unit,
            String target,
            String baseline) {
        String input =
                MEASURED_BLOCKS
                        + " blocks of 1 s each way, "
                        + REQUESTS_PER_SECOND
                        + " requests a second";
        report.add(new Figure(NAME + "." + name, value, unit, target, baseline, input));
    }

    private static double percentileMillis(ConcurrentHistogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / 1e6;
    }

    /** Starts the upstream and returns its port. */
    private int startUpstream() throws Exception {
        return mVertx.createHttpServer()
                .requestHandler(
                        request ->
                                mVertx.setTimer(
                                        SERVICE_TIME_MILLIS,
                                        ignored -> request.response().end("ok")))
                .listen(0, HOST)
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .actualPort();
    }

    /**
     * Announces the upstream to the agent now and periodically; returns the identifier of the
     * timer.
     */
    private long startAnnouncing(int port) {
        announce(port);
        return mVertx.setPeriodic(ANNOUNCE_INTERVAL_MILLIS, ignored -> announce(port));
    }

    private void announce(int port) {
        Buffer body =
                new JsonObject()
                        .put("service", "echo")
                        .put("address", HOST + ":" + port)
                        .put("slots", 64)
                        .put("connections", MAX_CONNECTIONS)
                        .put("state", "ready")
                        .toBuffer();
        mVertx.runOnContext(
                ignored ->
                        mClient.request(HttpMethod.POST, ANNOUNCE_PORT, HOST, "/v1/announce")
                                .compose(
                                        request -> {
                                            request.putHeader("Content-Type", "application/json");
                                            return request.send(body);
                                        })
                                .onSuccess(
                                        response -> {
                                            if (response.statusCode() != STATUS_NO_CONTENT) {
                                                mFailures.incrementAndGet();
                                            }
                                        }));
    }

    /** Waits until a request through the entry reaches the upstream. */
    private void awaitEntry() throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (System.nanoTime() < deadlineNanos) {
            CompletableFuture<Integer> status = new CompletableFuture<>();
            mVertx.runOnContext(ignored -> get(CALLER_PORT, ENTRY_PATH, status));
            if (status.get(TIMEOUT_SECONDS, TimeUnit.SECONDS) == STATUS_OK) {
                return;
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
        }
        throw new IllegalStateException(
                "no request through the entry has reached the upstream before the timeout");
    }

    private void get(int port, String path, CompletableFuture<Integer> status) {
        mClient.request(HttpMethod.GET, port, HOST, path)
                .compose(request -> request.send())
                .compose(response -> response.body().map(body -> response.statusCode()))
                .onSuccess(status::complete)
                .onFailure(status::completeExceptionally);
    }

    /**
     * Sends requests at fixed times for one second and waits for all answers. Latencies count from
     * the scheduled time, so that a delayed send is included.
     */
    private void runBlock(int port, String path, ConcurrentHistogram histogram) {
        long startNanos = System.nanoTime();
        long intervalNanos = TimeUnit.SECONDS.toNanos(1) / REQUESTS_PER_SECOND;
        for (int i = 0; i < REQUESTS_PER_SECOND; i++) {
            long dueNanos = startNanos + i * intervalNanos;
            while (System.nanoTime() < dueNanos) {
                Thread.onSpinWait();
            }
            mOpenRequests.incrementAndGet();
            CompletableFuture<Integer> status = new CompletableFuture<>();
            mVertx.runOnContext(ignored -> get(port, path, status));
            status.whenComplete(
                    (code, failure) -> {
                        histogram.recordValue(System.nanoTime() - dueNanos);
                        if (failure != null || code != STATUS_OK) {
                            mFailures.incrementAndGet();
                        }
                        mOpenRequests.decrementAndGet();
                    });
        }
        while (mOpenRequests.get() > 0) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }
}
