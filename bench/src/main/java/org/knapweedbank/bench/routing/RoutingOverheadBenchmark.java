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
 * Latency that entry and agent add to an upstream of 5 ms at 1,000 requests a second, over
 * loopback. Blocks of direct calls and of calls through the entry alternate; load, daemon and
 * upstream share one process, so the figures contain their contention.
 */
public final class RoutingOverheadBenchmark implements Benchmark {
    private static final String NAME = "routing.overhead";
    private static final String HOST = "127.0.0.1";
    private static final int CALLER_PORT = 8080;
    private static final int ANNOUNCE_PORT = 7501;
    private static final int SERVICE_MILLIS = 5;
    private static final int RATE = 1_000;
    private static final int WARM_UP_BLOCKS = 10;
    private static final int BLOCKS = 20;
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final long ANNOUNCE_MILLIS = 2_000;
    private static final long WAIT_SECONDS = 20;
    private static final int POOL = 256;
    private static final String DIRECT = "/x";
    private static final String ENTRY = "/s/echo/x";

    private final Vertx mVertx = Vertx.vertx();
    private final HttpClient mClient =
            mVertx.createHttpClient(new PoolOptions().setHttp1MaxSize(POOL));
    private final ConcurrentHistogram mDirect = new ConcurrentHistogram(3);
    private final ConcurrentHistogram mEntry = new ConcurrentHistogram(3);
    private final AtomicInteger mFailed = new AtomicInteger();
    private final AtomicInteger mOpen = new AtomicInteger();

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
        long timer = announceEvery(port);
        awaitEntry();
        for (int i = 0; i < WARM_UP_BLOCKS; i++) {
            block(port, DIRECT, mDirect);
            block(CALLER_PORT, ENTRY, mEntry);
        }
        mDirect.reset();
        mEntry.reset();
        mFailed.set(0);
        for (int i = 0; i < BLOCKS; i++) {
            block(port, DIRECT, mDirect);
            block(CALLER_PORT, ENTRY, mEntry);
        }
        mVertx.cancelTimer(timer);
        report(report);
    }

    private void report(BenchmarkReport report) {
        add(report, "direct.p50", millis(mDirect, 50), "ms", null, "direct");
        add(report, "direct.p99", millis(mDirect, 99), "ms", null, "direct");
        add(report, "entry.p50", millis(mEntry, 50), "ms", null, null);
        add(report, "entry.p99", millis(mEntry, 99), "ms", null, null);
        add(report, "added.p50", millis(mEntry, 50) - millis(mDirect, 50), "ms", "< 1", null);
        add(report, "added.p99", millis(mEntry, 99) - millis(mDirect, 99), "ms", "< 3", null);
        add(report, "failed", mFailed.get(), "requests", "= 0", null);
    }

    private static void add(
            BenchmarkReport report,
            String name,
            double value,
            String unit,
            String target,
            String baseline) {
        String input = BLOCKS + " blocks of 1 s each way, " + RATE + " requests a second";
        report.add(new Figure(NAME + "." + name, value, unit, target, baseline, input));
    }

    private static double millis(ConcurrentHistogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / 1e6;
    }

    private int startUpstream() throws Exception {
        return mVertx.createHttpServer()
                .requestHandler(
                        request ->
                                mVertx.setTimer(
                                        SERVICE_MILLIS, ignored -> request.response().end("ok")))
                .listen(0, HOST)
                .toCompletionStage()
                .toCompletableFuture()
                .get(WAIT_SECONDS, TimeUnit.SECONDS)
                .actualPort();
    }

    private long announceEvery(int port) {
        announce(port);
        return mVertx.setPeriodic(ANNOUNCE_MILLIS, ignored -> announce(port));
    }

    private void announce(int port) {
        Buffer body =
                new JsonObject()
                        .put("service", "echo")
                        .put("address", HOST + ":" + port)
                        .put("slots", 64)
                        .put("connections", POOL)
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
                                            if (response.statusCode() != NO_CONTENT) {
                                                mFailed.incrementAndGet();
                                            }
                                        }));
    }

    private void awaitEntry() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (System.nanoTime() < end) {
            CompletableFuture<Integer> status = new CompletableFuture<>();
            mVertx.runOnContext(ignored -> get(CALLER_PORT, ENTRY, status));
            if (status.get(WAIT_SECONDS, TimeUnit.SECONDS) == OK) {
                return;
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
        }
        throw new IllegalStateException("the entry does not reach the upstream");
    }

    private void get(int port, String path, CompletableFuture<Integer> status) {
        mClient.request(HttpMethod.GET, port, HOST, path)
                .compose(request -> request.send())
                .compose(response -> response.body().map(body -> response.statusCode()))
                .onSuccess(status::complete)
                .onFailure(status::completeExceptionally);
    }

    /** Sends one second of calls at fixed times and waits for their answers. */
    private void block(int port, String path, ConcurrentHistogram histogram) {
        long start = System.nanoTime();
        long interval = TimeUnit.SECONDS.toNanos(1) / RATE;
        for (int i = 0; i < RATE; i++) {
            long due = start + i * interval;
            while (System.nanoTime() < due) {
                Thread.onSpinWait();
            }
            mOpen.incrementAndGet();
            CompletableFuture<Integer> status = new CompletableFuture<>();
            mVertx.runOnContext(ignored -> get(port, path, status));
            status.whenComplete(
                    (code, failure) -> {
                        histogram.recordValue(System.nanoTime() - due);
                        if (failure != null || code != OK) {
                            mFailed.incrementAndGet();
                        }
                        mOpen.decrementAndGet();
                    });
        }
        while (mOpen.get() > 0) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }
}
