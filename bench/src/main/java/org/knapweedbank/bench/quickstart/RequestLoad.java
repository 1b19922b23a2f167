package org.knapweedbank.bench.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Sends idempotent and non-idempotent requests at a steady rate through the entries, repeats part
 * of the keyed ones with the same key, and sends the same idempotent requests straight to the
 * upstreams for comparison.
 */
final class RequestLoad {
    private static final int INTERVAL_MILLIS = 5;
    private static final int MAX_CONNECTIONS = 256;
    private static final double KEYED_SHARE = 0.25;
    private static final double REPEATED_SHARE = 0.2;
    private static final int DIRECT_EVERY = 4;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Vertx mVertx;
    private final HttpClient mClient;
    private final EntryPool mEntries;
    private final List<Integer> mUpstreams;
    private final UniformRandomProvider mRandom;
    private final Queue<CallOutcome> mOutcomes = new ConcurrentLinkedQueue<>();
    private final Histogram mThroughEntries = new ConcurrentHistogram(3);
    private final Histogram mDirect = new ConcurrentHistogram(3);
    private final Map<LoadPhase, PhaseLatency> mLatencies = new EnumMap<>(LoadPhase.class);
    private final AtomicInteger mOpen = new AtomicInteger();
    private volatile LoadPhase mPhase = LoadPhase.WARM_UP;
    private int mCount;
    private long mTimer;

    RequestLoad(Vertx vertx, List<Integer> entryPorts, List<Integer> upstreamPorts, long seed) {
        mVertx = vertx;
        mClient =
                vertx.createHttpClient(
                        new HttpClientOptions()
                                .setMaxPoolSize(MAX_CONNECTIONS)
                                .setTcpNoDelay(true));
        mEntries = new EntryPool(vertx, mClient, entryPorts);
        mUpstreams = List.copyOf(upstreamPorts);
        for (LoadPhase phase : LoadPhase.values()) {
            mLatencies.put(phase, new PhaseLatency());
        }
        mRandom = RandomSource.SPLIT_MIX_64.create(seed);
    }

    EntryPool entries() {
        return mEntries;
    }

    HttpClient client() {
        return mClient;
    }

    void start() {
        mTimer = mVertx.setPeriodic(INTERVAL_MILLIS, id -> sendNext());
    }

    void stop() {
        mVertx.cancelTimer(mTimer);
    }

    int open() {
        return mOpen.get();
    }

    List<CallOutcome> outcomes() {
        return List.copyOf(mOutcomes);
    }

    /** Begins a phase: latencies of requests that start from now on count for it. */
    void begin(LoadPhase phase) {
        mPhase = phase;
    }

    Map<LoadPhase, PhaseLatency.Summary> latencies() {
        Map<LoadPhase, PhaseLatency.Summary> summaries = new EnumMap<>(LoadPhase.class);
        mLatencies.forEach((phase, latency) -> summaries.put(phase, latency.summary()));
        return summaries;
    }

    Histogram throughEntries() {
        return mThroughEntries;
    }

    Histogram direct() {
        return mDirect;
    }

    private void sendNext() {
        mCount++;
        String token = "t" + mCount;
        if (mRandom.nextDouble() < KEYED_SHARE) {
            sendKeyed(token);
        } else {
            sendIdempotent(token);
        }
    }

    private void sendIdempotent(String token) {
        int port = mEntries.next();
        if (port == 0) {
            return;
        }
        send(HttpMethod.GET, port, "/s/demo/work?token=" + token, "", token, mThroughEntries);
        if (mCount % DIRECT_EVERY == 0) {
            sendDirect("d" + mCount);
        }
    }

    private void sendDirect(String token) {
        int port = mUpstreams.get(mRandom.nextInt(mUpstreams.size()));
        long start = System.nanoTime();
        PhaseLatency latency = mLatencies.get(mPhase);
        mClient.request(HttpMethod.GET, port, "127.0.0.1", "/work?token=" + token)
                .compose(HttpClientRequest::send)
                .compose(HttpClientResponse::body)
                .onSuccess(
                        body -> {
                            long micros = (System.nanoTime() - start) / 1_000;
                            mDirect.recordValue(micros);
                            latency.recordDirect(micros);
                        });
    }

    /** A repeat goes through another entry where there is one, at the same time as the first. */
    private void sendKeyed(String token) {
        String key = "k" + token;
        sendHold(token + "-1", key);
        if (mRandom.nextDouble() < REPEATED_SHARE) {
            sendHold(token + "-2", key);
        }
    }

    private void sendHold(String token, String key) {
        int port = mEntries.next();
        if (port != 0) {
            send(HttpMethod.POST, port, "/s/demo/hold", key, token, null);
        }
    }

    private void send(
            HttpMethod method,
            int port,
            String path,
            String key,
            String token,
            Histogram histogram) {
        long startMillis = System.currentTimeMillis();
        long start = System.nanoTime();
        PhaseLatency latency = mLatencies.get(mPhase);
        mOpen.incrementAndGet();
        mClient.request(method, port, "127.0.0.1", path)
                .compose(request -> send(request, key, token))
                .compose(
                        response ->
                                response.body().map(body -> outcome(response, body, key, token)))
                .recover(failure -> Future.succeededFuture(broken(failure)))
                .onSuccess(
                        verdict -> {
                            mOpen.decrementAndGet();
                            boolean answered = verdict.kind() == CallOutcome.Kind.ANSWERED;
                            if (histogram != null && answered) {
                                long micros = (System.nanoTime() - start) / 1_000;
                                histogram.recordValue(micros);
                                latency.recordThroughEntries(micros);
                            }
                            mOutcomes.add(
                                    new CallOutcome(
                                            token,
                                            verdict.kind(),
                                            startMillis,
                                            System.currentTimeMillis(),
                                            verdict.detail()));
                        });
    }

    private static Future<HttpClientResponse> send(
            HttpClientRequest request, String key, String token) {
        if (key.isEmpty()) {
            return request.send();
        }
        return request.putHeader("Idempotency-Key", key)
                .putHeader("Content-Type", "application/json")
                .send("{\"token\":\"" + token + "\"}");
    }

    /** Kind of an outcome with its detail. */
    private record Verdict(CallOutcome.Kind kind, String detail) {}

    private static Verdict broken(Throwable failure) {
        return new Verdict(CallOutcome.Kind.BROKEN, failure.toString());
    }

    private static Verdict outcome(
            HttpClientResponse response, Buffer body, String key, String token) {
        JsonNode json;
        try {
            json = MAPPER.readTree(body.getBytes());
        } catch (IOException e) {
            return new Verdict(CallOutcome.Kind.TRUNCATED, "body of " + body.length() + " bytes");
        }
        if (response.statusCode() / 100 == 2) {
            return new Verdict(answerKind(json, key, token), json.toString());
        }
        CallOutcome.Kind kind =
                switch (json.path("outcome").asText()) {
                    case "not-run" -> CallOutcome.Kind.NOT_RUN;
                    case "unknown" -> CallOutcome.Kind.UNKNOWN;
                    // An error status of the upstream is its whole answer.
                    default -> CallOutcome.Kind.ANSWERED;
                };
        return new Verdict(kind, response.statusCode() + " " + json.path("detail").asText());
    }

    /** The answer to a repeat is the recorded answer to the first request with the key. */
    private static CallOutcome.Kind answerKind(JsonNode json, String key, String token) {
        boolean own = json.path("token").asText().equals(token);
        boolean sameKey = !key.isEmpty() && json.path("idempotencyKey").asText().equals(key);
        return own || sameKey ? CallOutcome.Kind.ANSWERED : CallOutcome.Kind.WRONG;
    }
}
