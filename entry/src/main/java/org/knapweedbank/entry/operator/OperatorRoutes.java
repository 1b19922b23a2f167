package org.knapweedbank.entry.operator;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.config.ConfigurationLimits;
import org.knapweedbank.config.ConfigurationSource;
import org.knapweedbank.config.ConfigurationStore;
import org.knapweedbank.control.JobOperations;
import org.knapweedbank.ring.DutyThread;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.OperatorCall;
import org.knapweedbank.wire.OperatorReply;

/**
 * HTTP routes for operators under {@code /v1/}. Each request requires a bearer key. Requests are
 * processed on a dedicated thread, because validating a document may take some 100 ms, which would
 * delay the requests of callers on an event loop.
 */
public final class OperatorRoutes implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(OperatorRoutes.class);
    private static final String ALL_PATHS = "/v1/*";

    /** Key of the authenticated operator's name in the routing context. */
    private static final String OPERATOR_CONTEXT_KEY = "operator";

    /**
     * Time after which a request is answered with an unknown outcome. It exceeds the total time of
     * the three attempts of a change and a forwarded request.
     */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(30);

    /** Limit of the requests that are queued for the thread. Further requests are rejected. */
    private static final int MAX_QUEUED_REQUESTS = 256;

    /** Interval of the thread's periodic work, of which there is none. */
    private static final Duration IDLE_INTERVAL = Duration.ofMinutes(1);

    private final DutyThread mThread =
            new DutyThread("operator", MAX_QUEUED_REQUESTS, () -> {}, IDLE_INTERVAL);
    private final OperatorKeys mKeys;
    private final ConfigurationRequestHandler mConfigHandler;
    private final StatusRequestHandler mStatusHandler;
    private final JobRequestRouter mJobRouter;

    /**
     * Creates the routes.
     *
     * @param keys keys of the operators
     * @param dependencies stores and services that the routes use
     */
    public OperatorRoutes(OperatorKeys keys, Dependencies dependencies) {
        mKeys = keys;
        mConfigHandler =
                new ConfigurationRequestHandler(
                        dependencies.configurationStore(), dependencies.configurationSource());
        mStatusHandler =
                new StatusRequestHandler(
                        dependencies.configurationSource(),
                        dependencies.directory(),
                        dependencies.clock(),
                        dependencies.entryId());
        JobRequestHandler jobHandler =
                new JobRequestHandler(
                        dependencies.jobOperations(), dependencies.configurationSource());
        mJobRouter = new JobRequestRouter(jobHandler, dependencies.forwarder());
        mThread.start();
    }

    /**
     * Stores and services that the routes use.
     *
     * @param entryId identifier of this entry
     * @param configurationStore store of the configuration generations
     * @param configurationSource source of the configuration in force at this entry
     * @param jobOperations operations on the jobs of the partitions that this entry owns
     * @param forwarder forwards requests to other entries
     * @param directory directory of all daemons
     * @param clock monotonic clock that the configuration source uses
     */
    public record Dependencies(
            String entryId,
            ConfigurationStore configurationStore,
            ConfigurationSource configurationSource,
            JobOperations jobOperations,
            OperatorForwarder forwarder,
            DaemonDirectory directory,
            Clock clock) {}

    /**
     * Adds the routes to a router.
     *
     * @param router router of the operator listener
     */
    public void mount(Router router) {
        router.route(ALL_PATHS).failureHandler(this::handleFailure);
        // A path that cannot be decoded matches no route and reaches this error handler.
        router.errorHandler(
                400, ctx -> send(ctx, OperatorProblem.badRequest("the path is malformed")));
        router.route(ALL_PATHS).handler(this::authenticate);
        router.route(ALL_PATHS).handler(this::checkMediaType);
        router.route(ALL_PATHS)
                .handler(
                        BodyHandler.create(false)
                                .setBodyLimit(ConfigurationLimits.MAX_DOCUMENT_BYTES)
                                .setHandleFileUploads(false));
        addRoute(router, "/v1/status", HttpMethod.GET, ctx -> mStatusHandler.show());
        addRoute(router, "/v1/config", HttpMethod.GET, ctx -> mConfigHandler.show());
        addRoute(
                router, "/v1/config", HttpMethod.POST, ctx -> mConfigHandler.apply(requestOf(ctx)));
        addRoute(
                router,
                "/v1/datacentres/:name/out",
                HttpMethod.POST,
                ctx -> mConfigHandler.setRemoved(requestOf(ctx), ctx.pathParam("name"), true));
        addRoute(
                router,
                "/v1/datacentres/:name/in",
                HttpMethod.POST,
                ctx -> mConfigHandler.setRemoved(requestOf(ctx), ctx.pathParam("name"), false));
        addRoute(router, "/v1/audit", HttpMethod.GET, ctx -> mConfigHandler.audit(requestOf(ctx)));
        addRoute(router, "/v1/jobs", HttpMethod.GET, ctx -> mJobRouter.list(callOf(ctx)));
        addRoute(router, "/v1/jobs", HttpMethod.POST, ctx -> mJobRouter.route(callOf(ctx)));
        addRoute(router, "/v1/jobs/:id", HttpMethod.GET, ctx -> mJobRouter.route(callOf(ctx)));
        addRoute(router, "/v1/jobs/:id", HttpMethod.DELETE, ctx -> mJobRouter.route(callOf(ctx)));
        addRoute(
                router,
                "/v1/jobs/:id/explain",
                HttpMethod.GET,
                ctx -> mJobRouter.route(callOf(ctx)));
        rejectOtherMethods(router, "/v1/status", "GET");
        rejectOtherMethods(router, "/v1/config", "GET, POST");
        rejectOtherMethods(router, "/v1/datacentres/:name/out", "POST");
        rejectOtherMethods(router, "/v1/datacentres/:name/in", "POST");
        rejectOtherMethods(router, "/v1/audit", "GET");
        rejectOtherMethods(router, "/v1/jobs", "GET, POST");
        rejectOtherMethods(router, "/v1/jobs/:id", "GET, DELETE");
        rejectOtherMethods(router, "/v1/jobs/:id/explain", "GET");
        router.route(ALL_PATHS)
                .handler(
                        ctx ->
                                send(
                                        ctx,
                                        OperatorProblem.notFound(
                                                "no such path: " + ctx.request().path())));
    }

    /**
     * Handles a request forwarded by another entry. Only job requests are forwarded.
     *
     * @param call the request, with the operator that the other entry has authenticated
     * @return the reply
     */
    public Uni<OperatorReply> handle(OperatorCall call) {
        return runOnOperatorThread(() -> mJobRouter.handleForwarded(call))
                .map(response -> new OperatorReply(call.id(), response.status(), response.body()));
    }

    /** Stops the thread. Queued requests are not answered. */
    @Override
    public void close() {
        mThread.close();
    }

    /** Runs a request on the dedicated thread and converts its failure to a problem document. */
    private Uni<OperatorResponse> runOnOperatorThread(Supplier<Uni<OperatorResponse>> work) {
        return Uni.createFrom()
                .deferred(work::get)
                .runSubscriptionOn(this::execute)
                .onFailure(InvalidOperatorRequestException.class)
                .recoverWithItem(e -> OperatorProblem.badRequest(e.getMessage()))
                .onFailure(RejectedExecutionException.class)
                .recoverWithItem(e -> OperatorProblem.unavailable(e.getMessage()))
                .onFailure()
                .recoverWithItem(OperatorRoutes::internalError);
    }

    private void execute(Runnable work) {
        if (!mThread.execute(work)) {
            throw new RejectedExecutionException("too many operator requests are waiting");
        }
    }

    private void authenticate(RoutingContext context) {
        Optional<String> operator =
                mKeys.authenticate(context.request().getHeader("Authorization"));
        if (operator.isPresent()) {
            context.put(OPERATOR_CONTEXT_KEY, operator.get());
            context.next();
            return;
        }
        LOG.warn(
                "[operator] request without a valid key from {}",
                context.request().remoteAddress());
        context.response().putHeader("WWW-Authenticate", "Bearer");
        send(
                context,
                OperatorProblem.response(
                        401,
                        "unauthorized",
                        "Unauthorized",
                        "a valid key is needed in the header Authorization: Bearer KEY",
                        OperatorProblem.NOT_APPLIED));
    }

    private void checkMediaType(RoutingContext context) {
        String type = context.request().getHeader("Content-Type");
        boolean isJson =
                type == null
                        || type.strip().toLowerCase(Locale.ROOT).startsWith("application/json");
        if (isJson) {
            context.next();
            return;
        }
        send(
                context,
                OperatorProblem.response(
                        415,
                        "media-type",
                        "Media type not accepted",
                        "the body has another Content-Type than application/json",
                        OperatorProblem.NOT_APPLIED));
    }

    private void addRoute(
            Router router,
            String path,
            HttpMethod method,
            Function<RoutingContext, Uni<OperatorResponse>> handler) {
        router.route(method, path).handler(context -> respond(context, handler));
    }

    private void rejectOtherMethods(Router router, String path, String allowed) {
        router.route(path)
                .handler(
                        context -> {
                            context.response().putHeader("Allow", allowed);
                            send(
                                    context,
                                    OperatorProblem.response(
                                            405,
                                            "method",
                                            "Method not allowed",
                                            "accepted methods: " + allowed,
                                            OperatorProblem.NOT_APPLIED));
                        });
    }

    /** Sends the response of a handler, or an unknown outcome after the timeout. */
    private void respond(
            RoutingContext context, Function<RoutingContext, Uni<OperatorResponse>> handler) {
        Context eventLoop = context.vertx().getOrCreateContext();
        long timer =
                context.vertx()
                        .setTimer(
                                RESPONSE_TIMEOUT.toMillis(),
                                ignored ->
                                        send(
                                                context,
                                                OperatorProblem.unknown("no answer in time")));
        runOnOperatorThread(() -> handler.apply(context))
                .subscribe()
                .with(
                        response ->
                                eventLoop.runOnContext(
                                        ignored -> {
                                            context.vertx().cancelTimer(timer);
                                            send(context, response);
                                        }));
    }

    /** Responds to a request that a handler failed, such as one whose body exceeds the limit. */
    private void handleFailure(RoutingContext context) {
        int status = context.statusCode();
        if (status == 413) {
            String detail =
                    "the body is larger than " + ConfigurationLimits.MAX_DOCUMENT_BYTES + " bytes";
            send(
                    context,
                    OperatorProblem.response(
                            413,
                            "too-large",
                            "Body too large",
                            detail,
                            OperatorProblem.NOT_APPLIED));
        } else if (status >= 400 && status < 500) {
            send(context, OperatorProblem.badRequest("the request is malformed"));
        } else {
            send(context, internalError(context.failure()));
        }
    }

    private static OperatorResponse internalError(Throwable failure) {
        LOG.error("[operator] request failed", failure);
        return OperatorProblem.response(
                500,
                "internal",
                "Internal error",
                "the request failed; the daemon's log has the cause",
                OperatorProblem.UNKNOWN);
    }

    private static void send(RoutingContext context, OperatorResponse response) {
        HttpServerResponse httpResponse = context.response();
        if (httpResponse.ended() || httpResponse.closed()) {
            return;
        }
        boolean isProblem = response.status() >= 400;
        httpResponse.setStatusCode(response.status());
        httpResponse.putHeader(
                "Content-Type", isProblem ? "application/problem+json" : "application/json");
        httpResponse.putHeader("Cache-Control", "no-store");
        response.generation()
                .ifPresent(generation -> httpResponse.putHeader("ETag", "\"" + generation + "\""));
        httpResponse.end(Buffer.buffer(response.body()));
    }

    private static OperatorRequest requestOf(RoutingContext context) {
        HttpServerRequest request = context.request();
        return new OperatorRequest(
                context.get(OPERATOR_CONTEXT_KEY),
                request::getParam,
                request::getHeader,
                bodyOf(context));
    }

    private static OperatorCall callOf(RoutingContext context) {
        HttpServerRequest request = context.request();
        return new OperatorCall(
                0,
                context.get(OPERATOR_CONTEXT_KEY),
                request.method().name(),
                request.uri(),
                bodyOf(context));
    }

    private static byte[] bodyOf(RoutingContext context) {
        return context.body() == null || context.body().buffer() == null
                ? new byte[0]
                : context.body().buffer().getBytes();
    }
}
