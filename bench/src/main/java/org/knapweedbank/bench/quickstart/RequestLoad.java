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
 * Sends idempotent GET requests, and non-idempotent POST requests with an idempotency key, through
 * the entries at a steady rate. Sends some of the POST requests a second time with the same key,
 * and sends GET requests straight to the upstreams for comparison.
 */
final class RequestLoad {
    private static final int REQUEST_INTERVAL_MILLIS = 5;
    private static final int MAX_CONNECTIONS = 256;

    /** Share of requests with an idempotency key. */
    private static final double KEYED_REQUEST_SHARE = 0.25;

    /** Share of requests with an idempotency key that are sent twice. */
    private static final double REPEATED_KEY_SHARE = 0.2;

    /**
     * One in this number of requests is also sent straight to an upstream, if it has no idempotency
     * key.
     */
    private static final int REQUESTS_PER_DIRECT_REQUEST = 4;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Vertx mVertx;
    private final HttpClient mClient;
    private final EntryPool mEntries;
    private final List<Integer> mUpstreamPorts;
    private final UniformRandomProvider mRandom;
    private final Queue<CallOutcome> mOutcomes = new ConcurrentLinkedQueue<>();
    private final Histogram mEntryLatencyMicros = new ConcurrentHistogram(3);
    private final Histogram mDirectLatencyMicros = new ConcurrentHistogram(3);
    private final Map<LoadPhase, PhaseLatency> mLatencies = new EnumMap<>(LoadPhase.class);
    private final AtomicInteger mOpenRequests = new AtomicInteger();
    private volatile LoadPhase mPhase = LoadPhase.WARM_UP;
    private int mRequestCount;
    private long mTimerId;

    /**
     * Creates a load that does not send requests yet.
     *
     * @param vertx runs the timers and the HTTP client
     * @param entryPorts caller ports of the entries
     * @param upstreamPorts ports of the upstreams, for direct requests
     * @param seed seed of the random choices
     */
    RequestLoad(Vertx vertx, List<Integer> entryPorts, List<Integer> upstreamPorts, long seed) {
        mVertx = vertx;
        mClient =
                vertx.createHttpClient(
                        new HttpClientOptions()
                                .setMaxPoolSize(MAX_CONNECTIONS)
                                .setTcpNoDelay(true));
        mEntries = new EntryPool(vertx, mClient, entryPorts);
        mUpstreamPorts = List.copyOf(upstreamPorts);
        for (LoadPhase phase : LoadPhase.values()) {
            mLatencies.put(phase, new PhaseLatency());
        }
        mRandom = RandomSource.SPLIT_MIX_64.create(seed);
    }

    /** Returns the entries through which requests are sent. */
    EntryPool entries() {
        return mEntries;
    }

    /** Returns the HTTP client of the load. */
    HttpClient client() {
        return mClient;
    }

    /** Starts sending requests at a steady rate. */
    void start() {
        mTimerId = mVertx.setPeriodic(REQUEST_INTERVAL_MILLIS, id -> sendNext());
    }

    /** Stops sending requests; open ones continue. */
    void stop() {
        mVertx.cancelTimer(mTimerId);
    }

    /** Returns the number of requests through the entries that have no outcome yet. */
    int openRequests() {
        return mOpenRequests.get();
    }

    /** Returns the outcomes of all completed requests through the entries. */
    List<CallOutcome> outcomes() {
        return List.copyOf(mOutcomes);
    }

    /** Begins a phase. Requests sent from now on count in the latencies of this phase. */
    void beginPhase(LoadPhase phase) {
        mPhase = phase;
    }

    /** Returns the percentiles of the latencies by phase. */
    Map<LoadPhase, PhaseLatency.Summary> latencies() {
        Map<LoadPhase, PhaseLatency.Summary> summaries = new EnumMap<>(LoadPhase.class);
        mLatencies.forEach((phase, phaseLatency) -> summaries.put(phase, phaseLatency.summary()));
        return summaries;
    }

    /** Returns the latencies of answered idempotent requests through the entries. */
    Histogram entryLatencyMicros() {
        return mEntryLatencyMicros;
    }

    /** Returns the latencies of requests sent straight to the upstreams. */
    Histogram directLatencyMicros() {
        return mDirectLatencyMicros;
    }

    private void sendNext() {
        mRequestCount++;
        String token = "t" + mRequestCount;
        if (mRandom.nextDouble() < KEYED_REQUEST_SHARE) {
            sendKeyed(token);
        } else {
            sendIdempotent(token);
        }
    }

    /**
     * Sends an idempotent request through an entry, and every few requests one straight to an
     * upstream.
     */
    private void sendIdempotent(String token) {
        int port = mEntries.nextHealthyPort();
        if (port == 0) {
            return;
        }
        send(HttpMethod.GET, port, "/s/demo/work?token=" + token, "", token, mEntryLatencyMicros);
        if (mRequestCount % REQUESTS_PER_DIRECT_REQUEST == 0) {
            sendDirect("d" + mRequestCount);
        }
    }

    /** Sends a request straight to a random upstream and records its latency. */
    private void sendDirect(String token) {
        int port = mUpstreamPorts.get(mRandom.nextInt(mUpstreamPorts.size()));
        long start = System.nanoTime();
        PhaseLatency phaseLatency = mLatencies.get(mPhase);
        mClient.request(HttpMethod.GET, port, "127.0.0.1", "/work?token=" + token)
                .compose(HttpClientRequest::send)
                .compose(HttpClientResponse::body)
                .onSuccess(
                        body -> {
                            long micros = (System.nanoTime() - start) / 1_000;
                            mDirectLatencyMicros.recordValue(micros);
                            phaseLatency.recordDirect(micros);
                        });
    }

    /**
     * Sends a request with an idempotency key and, for some, a repeat at the same time, which goes
     * through another entry if there is one.
     */
    private void sendKeyed(String token) {
        String key = "k" + token;
        sendHoldRequest(token + "-1", key);
        if (mRandom.nextDouble() < REPEATED_KEY_SHARE) {
            sendHoldRequest(token + "-2", key);
        }
    }

    private void sendHoldRequest(String token, String key) {
        int port = mEntries.nextHealthyPort();
        if (port != 0) {
            send(HttpMethod.POST, port, "/s/demo/hold", key, token, null);
        }
    }

    /**
     * Sends a request through an entry and records its outcome.
     *
     * @param method HTTP method
     * @param port port of the entry
     * @param path path with the query
     * @param key idempotency key, or empty
     * @param token token that identifies the request
     * @param latencyMicros receives the latency of an answer, or null
     */
    private void send(
            HttpMethod method,
            int port,
            String path,
            String key,
            String token,
            Histogram latencyMicros) {
        long startMillis = System.currentTimeMillis();
        long start = System.nanoTime();
        PhaseLatency phaseLatency = mLatencies.get(mPhase);
        mOpenRequests.incrementAndGet();
        mClient.request(method, port, "127.0.0.1", path)
                .compose(request -> send(request, key, token))
                .compose(
                        response ->
                                response.body().map(body -> classify(response, body, key, token)))
                .recover(failure -> Future.succeededFuture(brokenConnection(failure)))
                .onSuccess(
                        outcome -> {
                            mOpenRequests.decrementAndGet();
                            boolean answered = outcome.kind() == CallOutcome.Kind.ANSWERED;
                            if (latencyMicros != null && answered) {
                                long micros = (System.nanoTime() - start) / 1_000;
                                latencyMicros.recordValue(micros);
                                phaseLatency.recordThroughEntries(micros);
                            }
                            mOutcomes.add(
                                    new CallOutcome(
                                            token,
                                            outcome.kind(),
                                            startMillis,
                                            System.currentTimeMillis(),
                                            outcome.detail()));
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

    /** Kind and detail of an outcome. */
    private record ClassifiedOutcome(CallOutcome.Kind kind, String detail) {}

    private static ClassifiedOutcome brokenConnection(Throwable failure) {
        return new ClassifiedOutcome(CallOutcome.Kind.BROKEN, failure.toString());
    }

    /** Determines the outcome of a request from the status and the body of the answer. */
    private static ClassifiedOutcome classify(
            HttpClientResponse response, Buffer body, String key, String token) {
        JsonNode json;
        try {
            json = MAPPER.readTree(body.getBytes());
        } catch (IOException e) {
            return new ClassifiedOutcome(
                    CallOutcome.Kind.TRUNCATED, "body of " + body.length() + " bytes");
        }
        if (response.statusCode() / 100 == 2) {
            return new ClassifiedOutcome(answerKind(json, key, token), json.toString());
        }
        CallOutcome.Kind kind =
                switch (json.path("outcome").asText()) {
                    case "not-run" -> CallOutcome.Kind.NOT_RUN;
                    case "unknown" -> CallOutcome.Kind.UNKNOWN;
                    // An error status without these outcomes is an answer of the upstream.
                    default -> CallOutcome.Kind.ANSWERED;
                };
        return new ClassifiedOutcome(
                kind, response.statusCode() + " " + json.path("detail").asText());
    }

    /**
     * Returns {@code ANSWERED} if an answer belongs to its request, else {@code WRONG}. A repeat
     * receives the recorded answer to the first request with its key, which has another token.
     */
    private static CallOutcome.Kind answerKind(JsonNode json, String key, String token) {
        boolean ownToken = json.path("token").asText().equals(token);
        boolean sameKey = !key.isEmpty() && json.path("idempotencyKey").asText().equals(key);
        return ownToken || sameKey ? CallOutcome.Kind.ANSWERED : CallOutcome.Kind.WRONG;
    }
}
