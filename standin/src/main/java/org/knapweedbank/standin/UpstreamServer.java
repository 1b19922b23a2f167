package org.knapweedbank.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.concurrent.atomic.AtomicBoolean;
import org.knapweedbank.time.Clock;

/**
 * Simulated HTTP upstream that announces itself to its agent. It serves these paths:
 *
 * <ul>
 *   <li>{@code /work}: any method; models an idempotent request. {@code ?token=T} is returned in
 *       the response, {@code ?bytes=N} adds padding of N bytes, {@code ?millis=N} sets the service
 *       time
 *   <li>{@code POST /hold}: models a non-idempotent request, recorded with its {@code
 *       Idempotency-Key} and its token. The token is the field {@code token} of a JSON body, or
 *       else the whole body
 *   <li>{@code GET /events}: a stream of server-sent events with the ids 1, 2, 3 and so on; it
 *       continues after {@code Last-Event-ID} if the request has that header
 *   <li>{@code GET /health}: status 200, or 503 while the upstream is leaving
 * </ul>
 *
 * A second port is the admin interface for tests: {@code GET /admin/executions} returns the
 * executions and statistics, {@code POST /admin/leave} starts a graceful leave, and {@code POST
 * /admin/settings} changes {@code serviceMillis}, the service time, and {@code failing}, which
 * makes all requests fail with status 500.
 */
public final class UpstreamServer implements AutoCloseable {
    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_INTERNAL_SERVER_ERROR = 500;
    private static final int STATUS_SERVICE_UNAVAILABLE = 503;
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final int MAX_PADDING_BYTES = 16 * 1024 * 1024;
    private static final long LEAVE_CHECK_INTERVAL_MILLIS = 20;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Vertx mVertx;
    private final UpstreamSettings mSettings;
    private final Clock mClock;
    private final UpstreamStatistics mStatistics = new UpstreamStatistics();
    private final HttpServer mServer;
    private final HttpServer mAdminServer;
    private final Promise<Void> mTermination = Promise.promise();
    private final AtomicBoolean mLeaving = new AtomicBoolean();
    private UpstreamAnnouncer mAnnouncer;
    private volatile long mServiceMillis;
    private volatile boolean mFailing;

    /**
     * Creates the upstream.
     *
     * @param vertx runs the connections and timers
     * @param settings service, addresses and behaviour
     * @param clock clock for the start times of executions
     */
    public UpstreamServer(Vertx vertx, UpstreamSettings settings, Clock clock) {
        mVertx = vertx;
        mSettings = settings;
        mClock = clock;
        mServiceMillis = settings.serviceTime().toMillis();
        mServer = vertx.createHttpServer(serverOptions());
        mAdminServer = vertx.createHttpServer(serverOptions());
    }

    /**
     * Starts listening on both ports and then announcing the upstream.
     *
     * @return completes when both ports are open
     */
    public Future<Void> start() {
        mServer.connectionHandler(
                connection -> {
                    mStatistics.addConnections(1);
                    connection.closeHandler(ignored -> mStatistics.addConnections(-1));
                });
        return mServer.requestHandler(createRouter())
                .listen(mSettings.port(), mSettings.host())
                .compose(
                        server ->
                                mAdminServer
                                        .requestHandler(createAdminRouter())
                                        .listen(mSettings.adminPort(), mSettings.host()))
                .map(
                        server -> {
                            startAnnouncing();
                            return null;
                        });
    }

    /**
     * Returns the TCP port for requests.
     *
     * @return the port
     */
    public int port() {
        return mServer.actualPort();
    }

    /**
     * Returns the TCP port of the admin interface.
     *
     * @return the port
     */
    public int adminPort() {
        return mAdminServer.actualPort();
    }

    /**
     * Returns the executions and statistics of the upstream.
     *
     * @return the live statistics
     */
    public UpstreamStatistics statistics() {
        return mStatistics;
    }

    /**
     * Starts a graceful leave. The upstream announces that it is leaving but still serves new
     * requests. It closes, including its event streams, when {@link UpstreamSettings#leaveGrace()}
     * has passed and no request is running. Repeated calls have no further effect.
     *
     * @return completes when the upstream has closed
     */
    public Future<Void> leave() {
        if (mLeaving.compareAndSet(false, true)) {
            announcer().announceLeaving();
            long graceMillis = Math.max(1, mSettings.leaveGrace().toMillis());
            mVertx.setTimer(graceMillis, ignored -> closeWhenIdle());
        }
        return mTermination.future();
    }

    /**
     * Returns a future that completes when the upstream has closed, gracefully or not.
     *
     * @return the future
     */
    public Future<Void> termination() {
        return mTermination.future();
    }

    /** Closes at once without announcing it, like a process that is killed. */
    @Override
    public void close() {
        UpstreamAnnouncer announcer = announcer();
        if (announcer != null) {
            announcer.close();
        }
        mServer.close();
        mAdminServer.close();
        mTermination.tryComplete();
    }

    /**
     * Returns the options of both ports. The upgrade to HTTP/2 is disabled, because a client may
     * lose the first response after the upgrade if the connection is closed immediately.
     */
    private HttpServerOptions serverOptions() {
        return new HttpServerOptions().setHost(mSettings.host()).setHttp2ClearTextEnabled(false);
    }

    private synchronized UpstreamAnnouncer announcer() {
        return mAnnouncer;
    }

    private synchronized void startAnnouncing() {
        String address = mSettings.host() + ":" + port();
        mAnnouncer = new UpstreamAnnouncer(mVertx, mSettings, address);
        mAnnouncer.start();
    }

    private void closeWhenIdle() {
        if (mStatistics.running() == 0) {
            close();
        } else {
            mVertx.setTimer(LEAVE_CHECK_INTERVAL_MILLIS, ignored -> closeWhenIdle());
        }
    }

    private Router createRouter() {
        Router router = Router.router(mVertx);
        router.get("/health").handler(this::sendHealth);
        router.get("/events").handler(this::streamEvents);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        router.post("/hold").handler(context -> executeRequest(context, tokenFromBody(context)));
        router.route("/work")
                .handler(context -> executeRequest(context, queryParameter(context, "token")));
        return router;
    }

    private Router createAdminRouter() {
        Router router = Router.router(mVertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        router.get("/admin/executions")
                .handler(context -> JsonBodies.respond(context, STATUS_OK, mStatistics.snapshot()));
        router.post("/admin/leave")
                .handler(
                        context -> {
                            leave();
                            JsonBodies.respond(context, STATUS_OK, JsonBodies.newObject());
                        });
        router.post("/admin/settings").handler(this::changeSettings);
        return router;
    }

    private void sendHealth(RoutingContext context) {
        int status = mLeaving.get() ? STATUS_SERVICE_UNAVAILABLE : STATUS_OK;
        ObjectNode body = JsonBodies.newObject().put("upstream", mSettings.name());
        JsonBodies.respond(context, status, body);
    }

    private void executeRequest(RoutingContext context, String token) {
        HttpServerRequest request = context.request();
        UpstreamExecution execution =
                new UpstreamExecution(
                        mSettings.name(),
                        request.method().name(),
                        request.uri(),
                        header(request, "Idempotency-Key"),
                        token,
                        header(request, "X-Correlation-Id"),
                        mClock.wallTime().toEpochMilli());
        if (!mStatistics.tryStart(mSettings.slots(), execution)) {
            context.response().putHeader("Retry-After", "1");
            ObjectNode refusal = JsonBodies.newObject().put("reason", "no slot is free");
            JsonBodies.respond(context, STATUS_SERVICE_UNAVAILABLE, refusal);
            return;
        }
        long millis = longQueryParameter(context, "millis", mServiceMillis);
        if (millis <= 0) {
            finishRequest(context, execution);
        } else {
            mVertx.setTimer(millis, ignored -> finishRequest(context, execution));
        }
    }

    private void finishRequest(RoutingContext context, UpstreamExecution execution) {
        boolean isOpen = !context.response().closed();
        mStatistics.finish(isOpen);
        if (!isOpen) {
            return;
        }
        ObjectNode body =
                JsonBodies.newObject()
                        .put("upstream", mSettings.name())
                        .put("token", execution.token())
                        .put("idempotencyKey", execution.idempotencyKey())
                        .put("correlationId", execution.correlationId());
        long padding = longQueryParameter(context, "bytes", 0);
        if (padding > 0) {
            body.put("padding", "x".repeat((int) Math.min(padding, MAX_PADDING_BYTES)));
        }
        JsonBodies.respond(context, mFailing ? STATUS_INTERNAL_SERVER_ERROR : STATUS_OK, body);
    }

    private void streamEvents(RoutingContext context) {
        HttpServerResponse response = context.response();
        response.setChunked(true)
                .putHeader("Content-Type", "text/event-stream")
                .putHeader("Cache-Control", "no-store");
        long lastEventId = parseLong(header(context.request(), "Last-Event-ID"), 0);
        mStatistics.addStreams(1);
        EventStream stream = new EventStream(response, lastEventId);
        long timerId =
                mVertx.setPeriodic(
                        Math.max(1, mSettings.eventInterval().toMillis()),
                        ignored -> stream.sendNext());
        response.endHandler(
                ignored -> {
                    mVertx.cancelTimer(timerId);
                    mStatistics.addStreams(-1);
                });
        stream.sendNext();
    }

    /** Sends the events of one stream. */
    private final class EventStream {
        private final HttpServerResponse mResponse;
        private long mLastEventId;

        private EventStream(HttpServerResponse response, long lastEventId) {
            mResponse = response;
            mLastEventId = lastEventId;
        }

        private void sendNext() {
            if (mResponse.closed() || mResponse.writeQueueFull()) {
                return;
            }
            mLastEventId++;
            mResponse.write(
                    "id: "
                            + mLastEventId
                            + "\ndata: event "
                            + mLastEventId
                            + " of "
                            + mSettings.name()
                            + "\n\n");
        }
    }

    private void changeSettings(RoutingContext context) {
        try {
            ObjectNode body = JsonBodies.parse(context.body().buffer());
            if (body.has("serviceMillis")) {
                mServiceMillis = JsonBodies.decodeLong(body.get("serviceMillis"), "serviceMillis");
            }
            if (body.has("failing")) {
                mFailing = body.get("failing").asBoolean();
            }
            JsonBodies.respond(context, STATUS_OK, JsonBodies.newObject());
        } catch (BadRequestException e) {
            ObjectNode error = JsonBodies.newObject().put("error", e.getMessage());
            JsonBodies.respond(context, STATUS_BAD_REQUEST, error);
        }
    }

    /** Returns the field {@code token} of a JSON body, or the stripped body if there is none. */
    private static String tokenFromBody(RoutingContext context) {
        String body = context.body().asString();
        if (body == null) {
            return "";
        }
        try {
            JsonNode node = MAPPER.readTree(body);
            return node != null && node.path("token").isTextual()
                    ? node.get("token").asText()
                    : body.strip();
        } catch (JsonProcessingException e) {
            return body.strip();
        }
    }

    private static String header(HttpServerRequest request, String name) {
        String value = request.getHeader(name);
        return value == null ? "" : value;
    }

    private static String queryParameter(RoutingContext context, String name) {
        String value = context.request().getParam(name);
        return value == null ? "" : value;
    }

    private static long longQueryParameter(RoutingContext context, String name, long defaultValue) {
        return parseLong(queryParameter(context, name), defaultValue);
    }

    private static long parseLong(String text, long defaultValue) {
        try {
            return text.isEmpty() ? defaultValue : Long.parseLong(text);
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }
}
