package org.knapweedbank.entry.http;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.config.ServiceSettings;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.entry.ClaimService;
import org.knapweedbank.entry.EntrySettings;
import org.knapweedbank.entry.upstream.RoutingState;
import org.knapweedbank.routing.Admission;
import org.knapweedbank.routing.RequestRules;
import org.knapweedbank.time.Clock;

/**
 * HTTP listener for callers. Serves {@code /s/SERVICE/...}, {@code /health} and {@code /metrics}.
 * All methods are called on the routing event loop.
 */
public final class CallerListener {
    private static final Logger LOG = LogManager.getLogger(CallerListener.class);

    /** Value of the Retry-After header in responses with status 503. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    /**
     * Limit of the HTTP server for the request line. It is above the URI limit of the parser, which
     * rejects longer URIs with a problem document.
     */
    private static final int MAX_REQUEST_LINE_BYTES = 8 * 1024;

    private final EntrySettings mSettings;
    private final CallerExchange.Dependencies mDependencies;
    private final MetricRegistry mRegistry;
    private final CallerRequestParser mParser;
    private final Set<CallerExchange> mOpenExchanges = new HashSet<>();
    private HttpServer mServer;
    private long mLastId;
    private boolean mHealthy = true;
    private boolean mAccepting = true;
    private Runnable mOnIdle;

    /**
     * Creates the listener.
     *
     * @param settings settings of the entry
     * @param vertx Vert.x instance that provides the event loops
     * @param clock monotonic clock
     * @param registry registry for the metrics, served at {@code /metrics}
     * @param routing routing state
     * @param claimService service for claims of idempotency keys
     */
    public CallerListener(
            EntrySettings settings,
            Vertx vertx,
            Clock clock,
            MetricRegistry registry,
            RoutingState routing,
            ClaimService claimService) {
        mSettings = settings;
        mRegistry = registry;
        mDependencies =
                new CallerExchange.Dependencies(
                        vertx, clock, routing, claimService, new CallerMetrics(registry));
        mParser = new CallerRequestParser(settings.limits(), this::nextId);
    }

    /**
     * Starts to listen for requests.
     *
     * @return the bound port
     */
    public Uni<Integer> listen() {
        Vertx vertx = mDependencies.vertx();
        HttpServerOptions options =
                new HttpServerOptions()
                        .setTcpNoDelay(true)
                        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                        .setMaxHeaderSize(2 * mSettings.limits().maxHeaderBytes());
        Router router = Router.router(vertx);
        router.get("/health").handler(context -> sendHealth(context.response()));
        router.get("/metrics")
                .handler(
                        context ->
                                context.response()
                                        .putHeader("Content-Type", "text/plain; version=0.0.4")
                                        .end(MetricsText.format(mRegistry)));
        router.route().handler(context -> sendNotFound(context.response()));
        mServer = vertx.createHttpServer(options);
        mServer.requestHandler(
                request -> {
                    // Bypasses the router, which would resolve dot segments in the path.
                    if (request.uri().startsWith("/s/")) {
                        parseAndServe(request);
                    } else {
                        router.handle(request);
                    }
                });
        PortBinding binding = new PortBinding(mServer, mSettings.callerAddress());
        return binding.bind();
    }

    /** Makes the health check fail. Requests are still accepted. */
    public void failHealth() {
        mHealthy = false;
    }

    /** Rejects new requests from now on, with the outcome "not run". */
    public void stopAccepting() {
        mAccepting = false;
    }

    /** Ends the event streams at event boundaries, so that callers resume them at another entry. */
    public void endStreams() {
        List.copyOf(mOpenExchanges).forEach(CallerExchange::endStream);
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return the count
     */
    public int openRequestCount() {
        return mOpenExchanges.size();
    }

    /**
     * Runs an action once, as soon as no request is in flight.
     *
     * @param action the action
     */
    public void whenIdle(Runnable action) {
        if (mOpenExchanges.isEmpty()) {
            action.run();
        } else {
            mOnIdle = action;
        }
    }

    /**
     * Stops listening and closes the connections.
     *
     * @return completes when the port and the connections are closed
     */
    public Uni<Void> close() {
        return Uni.createFrom().completionStage(() -> mServer.close().toCompletionStage());
    }

    private void sendHealth(HttpServerResponse response) {
        boolean configured = mDependencies.routing().configuration().isPresent();
        String status = !mHealthy ? "stopping" : configured ? "ready" : "waiting for configuration";
        response.setStatusCode(mHealthy && configured ? 200 : 503)
                .putHeader("Content-Type", "application/json")
                .end("{\"status\":\"" + status + "\"}");
    }

    private void sendNotFound(HttpServerResponse response) {
        Problem problem =
                Problem.notRun(
                        404,
                        "not-found",
                        "Not found",
                        "the paths are /s/SERVICE/..., /health and /metrics");
        ResponseWriter.writeProblem(response, problem, nextId());
    }

    private void parseAndServe(HttpServerRequest request) {
        ParseResult result =
                mParser.parse(request.method().name(), request.uri(), request.headers());
        switch (result) {
            case ParseResult.Invalid invalid -> {
                mDependencies.metrics().recordInvalidRequest();
                reject(request, invalid.problem(), invalid.correlationId());
            }
            case ParseResult.Valid valid -> serve(request, valid.request());
        }
    }

    /** Checks a request against the configuration and starts to read its body. */
    private void serve(HttpServerRequest request, CallerRequest parsed) {
        if (!mAccepting) {
            reject(request, stoppingProblem(), parsed.correlationId());
            return;
        }
        SiteConfiguration site = mDependencies.routing().configuration().orElse(null);
        if (site == null) {
            Problem problem =
                    Problem.notRun(
                                    503,
                                    "no-configuration",
                                    "No configuration",
                                    "the entry has not received a configuration yet")
                            .withRetryAfter(RETRY_AFTER);
            reject(request, problem, parsed.correlationId());
            return;
        }
        ServiceSettings service = site.service(parsed.service()).orElse(null);
        if (service == null) {
            Problem problem =
                    Problem.notRun(
                            404,
                            "unknown-service",
                            "Unknown service",
                            "the configuration has no service " + parsed.service());
            reject(request, problem, parsed.correlationId());
            return;
        }
        boolean idempotent = service.idempotentMethods().contains(parsed.method());
        if (!idempotent && service.requireIdempotencyKey() && parsed.idempotencyKey().isEmpty()) {
            Problem problem =
                    Problem.badRequest(
                            "the service requires " + CallerRequestParser.IDEMPOTENCY_KEY_HEADER);
            reject(request, problem, parsed.correlationId());
            return;
        }
        long startedNanos = mDependencies.clock().monotonicNanos();
        new BodyReader(request, mSettings.limits(), mDependencies.vertx())
                .read(
                        body -> admit(request, parsed, service, body.getBytes(), startedNanos),
                        problem -> reject(request, problem, parsed.correlationId()));
    }

    /** Starts the execution of a request whose body is complete, if it is admitted. */
    private void admit(
            HttpServerRequest request,
            CallerRequest parsed,
            ServiceSettings service,
            byte[] body,
            long startedNanos) {
        long deadlineMillis =
                parsed.deadlineMillis() > 0
                        ? parsed.deadlineMillis()
                        : service.defaultDeadlineMillis();
        long deadlineNanos = startedNanos + Duration.ofMillis(deadlineMillis).toNanos();
        Duration remaining =
                Duration.ofNanos(deadlineNanos - mDependencies.clock().monotonicNanos());
        Admission admission =
                mAccepting
                        ? mDependencies
                                .routing()
                                .admit(service.name(), service.maxConcurrent(), remaining)
                        : new Admission.Refused("the entry is stopping", RETRY_AFTER);
        switch (admission) {
            case Admission.Refused refused -> {
                Problem problem =
                        Problem.notRun(503, "overloaded", "Overloaded", refused.reason())
                                .withRetryAfter(refused.retryAfter());
                reject(request, problem, parsed.correlationId());
            }
            case Admission.Admitted admitted ->
                    startExchange(request, parsed, service, body, deadlineNanos);
        }
    }

    private void startExchange(
            HttpServerRequest request,
            CallerRequest parsed,
            ServiceSettings service,
            byte[] body,
            long deadlineNanos) {
        boolean idempotent = service.idempotentMethods().contains(parsed.method());
        boolean keyed = !idempotent && !parsed.idempotencyKey().isEmpty();
        RequestRules rules =
                new RequestRules(idempotent, keyed, parsed.acceptsEventStream(), deadlineNanos);
        ResponseWriter writer = new ResponseWriter(request.response(), parsed.correlationId());
        CallerExchange exchange =
                new CallerExchange(mDependencies, parsed, body, rules, writer, nextId());
        mOpenExchanges.add(exchange);
        exchange.setOnEnd(() -> onExchangeEnded(exchange));
        request.response().closeHandler(ignored -> exchange.onCallerDisconnected());
        request.response()
                .exceptionHandler(e -> LOG.debug("[entry] connection to a caller failed", e));
        exchange.start();
    }

    private void onExchangeEnded(CallerExchange exchange) {
        mOpenExchanges.remove(exchange);
        if (mOpenExchanges.isEmpty() && mOnIdle != null) {
            Runnable onIdle = mOnIdle;
            mOnIdle = null;
            onIdle.run();
        }
    }

    /** Responds with a problem document, closing the connection if the body is not fully read. */
    private void reject(HttpServerRequest request, Problem problem, String correlationId) {
        mDependencies.metrics().recordOutcome(problem.outcome());
        if (!request.isEnded()) {
            // The rest of the body is not read, so the connection cannot be reused.
            request.response().headers().set("Connection", "close");
        }
        ResponseWriter.writeProblem(request.response(), problem, correlationId);
    }

    private static Problem stoppingProblem() {
        return Problem.notRun(503, "stopping", "Stopping", "the entry is stopping")
                .withRetryAfter(RETRY_AFTER);
    }

    /** Returns a new id for a request or attempt, unique across all entries and restarts. */
    private String nextId() {
        mLastId++;
        return mSettings.daemon()
                + "-"
                + Long.toString(mSettings.incarnation(), Character.MAX_RADIX)
                + "-"
                + Long.toString(mLastId, Character.MAX_RADIX);
    }

    /** Binds an HTTP server to an address. */
    private record PortBinding(HttpServer server, org.knapweedbank.entry.ListenAddress address) {
        Uni<Integer> bind() {
            return Uni.createFrom()
                    .completionStage(
                            () -> server.listen(address.port(), address.host()).toCompletionStage())
                    .map(HttpServer::actualPort);
        }
    }
}
