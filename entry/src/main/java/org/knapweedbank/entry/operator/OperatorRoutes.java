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
 * Operator HTTP under {@code /v1/}. Each request needs a bearer key. Requests are worked on by a
 * thread of their own, as the check of a document may take some 100 ms, for which callers must not
 * wait.
 */
public final class OperatorRoutes implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(OperatorRoutes.class);
    private static final String ALL = "/v1/*";
    private static final String OPERATOR = "operator";

    /** Longer than the three attempts of a change and a forwarded request together. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(30);

    /** Requests that wait for the thread; further ones are refused. */
    private static final int MAX_WAITING = 256;

    private static final Duration IDLE_STEP = Duration.ofMinutes(1);

    private final DutyThread mThread = new DutyThread("operator", MAX_WAITING, () -> {}, IDLE_STEP);
    private final OperatorKeys mKeys;
    private final ConfigurationRequests mConfiguration;
    private final StatusRequests mStatus;
    private final JobRouting mJobs;

    /**
     * Creates the routes.
     *
     * @param keys keys of the operators
     * @param parts what the routes act on
     */
    public OperatorRoutes(OperatorKeys keys, Parts parts) {
        mKeys = keys;
        mConfiguration = new ConfigurationRequests(parts.configurations(), parts.source());
        mStatus =
                new StatusRequests(
                        parts.source(), parts.directory(), parts.clock(), parts.entryId());
        JobRequests jobs = new JobRequests(parts.jobs(), parts.source());
        mJobs = new JobRouting(jobs, parts.forwarder());
        mThread.start();
    }

    /**
     * What the routes act on.
     *
     * @param entryId identifier of this entry
     * @param configurations generations in the store
     * @param source configuration in force here
     * @param jobs jobs of the partitions owned here
     * @param forwarder forwards requests to other entries
     * @param directory knows all daemons
     * @param clock clock of the source
     */
    public record Parts(
            String entryId,
            ConfigurationStore configurations,
            ConfigurationSource source,
            JobOperations jobs,
            OperatorForwarder forwarder,
            DaemonDirectory directory,
            Clock clock) {}

    /**
     * Adds the routes to a router.
     *
     * @param router router of the operator listener
     */
    public void mount(Router router) {
        router.route(ALL).failureHandler(this::failed);
        // Paths that cannot be decoded match no route.
        router.errorHandler(400, c -> send(c, OperatorProblem.badRequest("the path is malformed")));
        router.route(ALL).handler(this::authenticate);
        router.route(ALL).handler(this::checkMediaType);
        router.route(ALL)
                .handler(
                        BodyHandler.create(false)
                                .setBodyLimit(ConfigurationLimits.MAX_BYTES)
                                .setHandleFileUploads(false));
        mount(router, "/v1/status", HttpMethod.GET, context -> mStatus.show());
        mount(router, "/v1/config", HttpMethod.GET, context -> mConfiguration.show());
        mount(
                router,
                "/v1/config",
                HttpMethod.POST,
                context -> mConfiguration.apply(request(context)));
        mount(
                router,
                "/v1/datacentres/:name/out",
                HttpMethod.POST,
                context ->
                        mConfiguration.setRemoved(
                                request(context), context.pathParam("name"), true));
        mount(
                router,
                "/v1/datacentres/:name/in",
                HttpMethod.POST,
                context ->
                        mConfiguration.setRemoved(
                                request(context), context.pathParam("name"), false));
        mount(router, "/v1/audit", HttpMethod.GET, c -> mConfiguration.audit(request(c)));
        mount(router, "/v1/jobs", HttpMethod.GET, c -> mJobs.list(call(c)));
        mount(router, "/v1/jobs", HttpMethod.POST, c -> mJobs.route(call(c)));
        mount(router, "/v1/jobs/:id", HttpMethod.GET, c -> mJobs.route(call(c)));
        mount(router, "/v1/jobs/:id", HttpMethod.DELETE, c -> mJobs.route(call(c)));
        mount(router, "/v1/jobs/:id/explain", HttpMethod.GET, c -> mJobs.route(call(c)));
        refuseOtherMethods(router, "/v1/status", "GET");
        refuseOtherMethods(router, "/v1/config", "GET, POST");
        refuseOtherMethods(router, "/v1/datacentres/:name/out", "POST");
        refuseOtherMethods(router, "/v1/datacentres/:name/in", "POST");
        refuseOtherMethods(router, "/v1/audit", "GET");
        refuseOtherMethods(router, "/v1/jobs", "GET, POST");
        refuseOtherMethods(router, "/v1/jobs/:id", "GET, DELETE");
        refuseOtherMethods(router, "/v1/jobs/:id/explain", "GET");
        router.route(ALL)
                .handler(
                        context ->
                                send(
                                        context,
                                        OperatorProblem.notFound(
                                                "no such path: " + context.request().path())));
    }

    /**
     * Answers a request that another entry forwarded. Only requests about jobs are forwarded.
     *
     * @param call the request, with the operator that the other entry authenticated
     * @return the answer
     */
    public Uni<OperatorReply> handle(OperatorCall call) {
        return onThread(() -> mJobs.answerForwarded(call))
                .map(answer -> new OperatorReply(call.id(), answer.status(), answer.body()));
    }

    /** Ends the thread; requests that wait for it get no answer. */
    @Override
    public void close() {
        mThread.close();
    }

    private Uni<OperatorAnswer> onThread(Supplier<Uni<OperatorAnswer>> work) {
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
            context.put(OPERATOR, operator.get());
            context.next();
            return;
        }
        LOG.warn(
                "[operator] request without a valid key from {}",
                context.request().remoteAddress());
        context.response().putHeader("WWW-Authenticate", "Bearer");
        send(
                context,
                OperatorProblem.answer(
                        401,
                        "unauthorized",
                        "Unauthorized",
                        "a valid key is needed in the header Authorization: Bearer KEY",
                        OperatorProblem.NOT_APPLIED));
    }

    private void checkMediaType(RoutingContext context) {
        String type = context.request().getHeader("Content-Type");
        boolean accepted =
                type == null
                        || type.strip().toLowerCase(Locale.ROOT).startsWith("application/json");
        if (accepted) {
            context.next();
            return;
        }
        send(
                context,
                OperatorProblem.answer(
                        415,
                        "media-type",
                        "Media type not accepted",
                        "the body has another Content-Type than application/json",
                        OperatorProblem.NOT_APPLIED));
    }

    private void mount(
            Router router,
            String path,
            HttpMethod method,
            Function<RoutingContext, Uni<OperatorAnswer>> handler) {
        router.route(method, path).handler(context -> answer(context, handler));
    }

    private void refuseOtherMethods(Router router, String path, String allowed) {
        router.route(path)
                .handler(
                        context -> {
                            context.response().putHeader("Allow", allowed);
                            send(
                                    context,
                                    OperatorProblem.answer(
                                            405,
                                            "method",
                                            "Method not allowed",
                                            "accepted methods: " + allowed,
                                            OperatorProblem.NOT_APPLIED));
                        });
    }

    private void answer(
            RoutingContext context, Function<RoutingContext, Uni<OperatorAnswer>> handler) {
        Context loop = context.vertx().getOrCreateContext();
        long timer =
                context.vertx()
                        .setTimer(
                                ANSWER_TIMEOUT.toMillis(),
                                id -> send(context, OperatorProblem.unknown("no answer in time")));
        onThread(() -> handler.apply(context))
                .subscribe()
                .with(
                        item ->
                                loop.runOnContext(
                                        ignored -> {
                                            context.vertx().cancelTimer(timer);
                                            send(context, item);
                                        }));
    }

    private void failed(RoutingContext context) {
        int status = context.statusCode();
        if (status == 413) {
            String detail = "the body is larger than " + ConfigurationLimits.MAX_BYTES + " bytes";
            send(
                    context,
                    OperatorProblem.answer(
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

    private static OperatorAnswer internalError(Throwable failure) {
        LOG.error("[operator] request failed", failure);
        return OperatorProblem.answer(
                500,
                "internal",
                "Internal error",
                "the request failed; the daemon's log has the cause",
                OperatorProblem.UNKNOWN);
    }

    private static void send(RoutingContext context, OperatorAnswer answer) {
        HttpServerResponse response = context.response();
        if (response.ended() || response.closed()) {
            return;
        }
        boolean problem = answer.status() >= 400;
        response.setStatusCode(answer.status());
        response.putHeader(
                "Content-Type", problem ? "application/problem+json" : "application/json");
        response.putHeader("Cache-Control", "no-store");
        answer.generation().ifPresent(value -> response.putHeader("ETag", "\"" + value + "\""));
        response.end(Buffer.buffer(answer.body()));
    }

    private static OperatorRequest request(RoutingContext context) {
        HttpServerRequest request = context.request();
        return new OperatorRequest(
                context.get(OPERATOR), request::getParam, request::getHeader, body(context));
    }

    private static OperatorCall call(RoutingContext context) {
        HttpServerRequest request = context.request();
        return new OperatorCall(
                0, context.get(OPERATOR), request.method().name(), request.uri(), body(context));
    }

    private static byte[] body(RoutingContext context) {
        return context.body() == null || context.body().buffer() == null
                ? new byte[0]
                : context.body().buffer().getBytes();
    }
}
