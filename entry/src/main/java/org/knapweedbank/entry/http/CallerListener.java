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
 * HTTP listener for callers: {@code /s/SERVICE/...}, {@code /health} and {@code /metrics}. All
 * methods are called on the routing event loop.
 */
public final class CallerListener {
    private static final Logger LOG = LogManager.getLogger(CallerListener.class);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    /** Room for the request line above the limit that the parser enforces with a clear answer. */
    private static final int INITIAL_LINE_BYTES = 8 * 1024;

    private final EntrySettings mSettings;
    private final CallerExchange.Parts mParts;
    private final MetricRegistry mRegistry;
    private final CallerRequestParser mParser;
    private final Set<CallerExchange> mOpen = new HashSet<>();
    private HttpServer mServer;
    private long mNextRequest;
    private boolean mHealthy = true;
    private boolean mAccepting = true;
    private Runnable mIdle;

    /**
     * Creates the listener.
     *
     * @param settings settings of the entry
     * @param vertx event loops
     * @param clock clock
     * @param registry receives the metrics, and is shown by {@code /metrics}
     * @param routing routing state
     * @param claims claims of idempotency keys
     */
    public CallerListener(
            EntrySettings settings,
            Vertx vertx,
            Clock clock,
            MetricRegistry registry,
            RoutingState routing,
            ClaimService claims) {
        mSettings = settings;
        mRegistry = registry;
        mParts =
                new CallerExchange.Parts(
                        vertx, clock, routing, claims, new CallerMetrics(registry));
        mParser = new CallerRequestParser(settings.limits(), this::nextId);
    }

    /**
     * Opens the port.
     *
     * @return the port in use
     */
    public Uni<Integer> listen() {
        Vertx vertx = mParts.vertx();
        HttpServerOptions options =
                new HttpServerOptions()
                        .setTcpNoDelay(true)
                        .setMaxInitialLineLength(INITIAL_LINE_BYTES)
                        .setMaxHeaderSize(2 * mSettings.limits().maxHeaderBytes());
        Router router = Router.router(vertx);
        router.get("/health").handler(context -> health(context.response()));
        router.get("/metrics")
                .handler(
                        context ->
                                context.response()
                                        .putHeader("Content-Type", "text/plain; version=0.0.4")
                                        .end(MetricsText.of(mRegistry)));
        router.route().handler(context -> notFound(context.response()));
        mServer = vertx.createHttpServer(options);
        mServer.requestHandler(
                request -> {
                    // The raw path is used, as the router would resolve dot segments.
                    if (request.uri().startsWith("/s/")) {
                        serve(request);
                    } else {
                        router.handle(request);
                    }
                });
        ListenFuture future = new ListenFuture(mServer, mSettings.callers());
        return future.listen();
    }

    /** Makes the health check fail; requests are still taken. */
    public void failHealth() {
        mHealthy = false;
    }

    /** Refuses new requests as not run. */
    public void stopAccepting() {
        mAccepting = false;
    }

    /** Ends the event streams after whole events, so that callers continue elsewhere. */
    public void endStreams() {
        List.copyOf(mOpen).forEach(CallerExchange::endStream);
    }

    /**
     * Number of requests in flight.
     *
     * @return the count
     */
    public int open() {
        return mOpen.size();
    }

    /**
     * Sets what runs once no request is in flight; at once if none is.
     *
     * @param action the action
     */
    public void whenIdle(Runnable action) {
        if (mOpen.isEmpty()) {
            action.run();
        } else {
            mIdle = action;
        }
    }

    /**
     * Closes the port and the connections.
     *
     * @return completes when they are closed
     */
    public Uni<Void> close() {
        return Uni.createFrom().completionStage(() -> mServer.close().toCompletionStage());
    }

    private void health(HttpServerResponse response) {
        boolean configured = mParts.routing().configuration().isPresent();
        String status = !mHealthy ? "stopping" : configured ? "ready" : "waiting for configuration";
        response.setStatusCode(mHealthy && configured ? 200 : 503)
                .putHeader("Content-Type", "application/json")
                .end("{\"status\":\"" + status + "\"}");
    }

    private void notFound(HttpServerResponse response) {
        Problem problem =
                Problem.notRun(
                        404,
                        "not-found",
                        "Not found",
                        "the paths are /s/SERVICE/..., /health and /metrics");
        AnswerWriter.write(response, problem, nextId());
    }

    private void serve(HttpServerRequest request) {
        ParseResult result =
                mParser.parse(request.method().name(), request.uri(), request.headers());
        switch (result) {
            case ParseResult.Invalid invalid -> {
                mParts.metrics().invalid();
                refuse(request, invalid.problem(), invalid.correlationId());
            }
            case ParseResult.Valid valid -> serve(request, valid.request());
        }
    }

    private void serve(HttpServerRequest request, CallerRequest parsed) {
        if (!mAccepting) {
            refuse(request, stopping(), parsed.correlationId());
            return;
        }
        SiteConfiguration site = mParts.routing().configuration().orElse(null);
        if (site == null) {
            Problem problem =
                    Problem.notRun(
                                    503,
                                    "no-configuration",
                                    "No configuration",
                                    "the entry has not received a configuration yet")
                            .retryAfter(RETRY_AFTER);
            refuse(request, problem, parsed.correlationId());
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
            refuse(request, problem, parsed.correlationId());
            return;
        }
        boolean idempotent = service.idempotentMethods().contains(parsed.method());
        if (!idempotent && service.requireIdempotencyKey() && parsed.idempotencyKey().isEmpty()) {
            Problem problem =
                    Problem.badRequest(
                            "the service requires " + CallerRequestParser.IDEMPOTENCY_KEY);
            refuse(request, problem, parsed.correlationId());
            return;
        }
        long started = mParts.clock().monotonicNanos();
        new BodyReader(request, mSettings.limits(), mParts.vertx())
                .read(
                        body -> admit(request, parsed, service, body.getBytes(), started),
                        problem -> refuse(request, problem, parsed.correlationId()));
    }

    private void admit(
            HttpServerRequest request,
            CallerRequest parsed,
            ServiceSettings service,
            byte[] body,
            long started) {
        long millis =
                parsed.deadlineMillis() > 0
                        ? parsed.deadlineMillis()
                        : service.defaultDeadlineMillis();
        long deadline = started + Duration.ofMillis(millis).toNanos();
        Duration remaining = Duration.ofNanos(deadline - mParts.clock().monotonicNanos());
        Admission admission =
                mAccepting
                        ? mParts.routing().admit(service.name(), service.maxConcurrent(), remaining)
                        : new Admission.Refused("the entry is stopping", RETRY_AFTER);
        switch (admission) {
            case Admission.Refused refused -> {
                Problem problem =
                        Problem.notRun(503, "overloaded", "Overloaded", refused.reason())
                                .retryAfter(refused.retryAfter());
                refuse(request, problem, parsed.correlationId());
            }
            case Admission.Admitted admitted -> run(request, parsed, service, body, deadline);
        }
    }

    private void run(
            HttpServerRequest request,
            CallerRequest parsed,
            ServiceSettings service,
            byte[] body,
            long deadline) {
        boolean idempotent = service.idempotentMethods().contains(parsed.method());
        boolean keyed = !idempotent && !parsed.idempotencyKey().isEmpty();
        RequestRules rules = new RequestRules(idempotent, keyed, parsed.stream(), deadline);
        AnswerWriter writer = new AnswerWriter(request.response(), parsed.correlationId());
        CallerExchange exchange = new CallerExchange(mParts, parsed, body, rules, writer, nextId());
        mOpen.add(exchange);
        exchange.onEnd(() -> ended(exchange));
        request.response().closeHandler(ignored -> exchange.callerGone());
        request.response()
                .exceptionHandler(e -> LOG.debug("[entry] connection of a caller failed", e));
        exchange.start();
    }

    private void ended(CallerExchange exchange) {
        mOpen.remove(exchange);
        if (mOpen.isEmpty() && mIdle != null) {
            Runnable idle = mIdle;
            mIdle = null;
            idle.run();
        }
    }

    private void refuse(HttpServerRequest request, Problem problem, String correlationId) {
        mParts.metrics().refused(problem.outcome());
        if (!request.isEnded()) {
            // The rest of the body is not read, so the connection cannot be used again.
            request.response().headers().set("Connection", "close");
        }
        AnswerWriter.write(request.response(), problem, correlationId);
    }

    private static Problem stopping() {
        return Problem.notRun(503, "stopping", "Stopping", "the entry is stopping")
                .retryAfter(RETRY_AFTER);
    }

    /** Identifier of a request or attempt, unique over all entries and restarts. */
    private String nextId() {
        mNextRequest++;
        return mSettings.daemon()
                + "-"
                + Long.toString(mSettings.incarnation(), Character.MAX_RADIX)
                + "-"
                + Long.toString(mNextRequest, Character.MAX_RADIX);
    }

    /** Adapts the future of a listener. */
    private record ListenFuture(HttpServer server, org.knapweedbank.entry.ListenAddress address) {
        Uni<Integer> listen() {
            return Uni.createFrom()
                    .completionStage(
                            () -> server.listen(address.port(), address.host()).toCompletionStage())
                    .map(HttpServer::actualPort);
        }
    }
}
