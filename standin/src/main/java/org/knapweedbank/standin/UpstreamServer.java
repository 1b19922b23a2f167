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
 * HTTP stand-in of an upstream that announces itself to its agent.
 *
 * <ul>
 *   <li>{@code /work}: any method but POST, idempotent; {@code ?token=T} is returned in the answer,
 *       {@code ?bytes=N} pads it, {@code ?millis=N} sets its service time
 *   <li>{@code POST /hold}: non-idempotent; recorded by {@code Idempotency-Key} and by the token,
 *       which is the member {@code token} of a JSON body or else the body
 *   <li>{@code GET /events}: server-sent events with the ids 1, 2, 3 and so on, which continue
 *       after {@code Last-Event-ID}
 *   <li>{@code GET /health}: 200, or 503 while it is leaving
 * </ul>
 *
 * A second port serves tests: {@code GET /admin/executions} reads the records, {@code POST
 * /admin/leave} begins a graceful leave, {@code POST /admin/settings} changes {@code serviceMillis}
 * and {@code failing}.
 */
public final class UpstreamServer implements AutoCloseable {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int FAILURE = 500;
    private static final int UNAVAILABLE = 503;
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final int MAX_PADDING_BYTES = 16 * 1024 * 1024;
    private static final long LEAVE_CHECK_MILLIS = 20;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Vertx mVertx;
    private final UpstreamSettings mSettings;
    private final Clock mClock;
    private final UpstreamRecords mRecords = new UpstreamRecords();
    private final HttpServer mServer;
    private final HttpServer mAdmin;
    private final Promise<Void> mLeft = Promise.promise();
    private final AtomicBoolean mLeaving = new AtomicBoolean();
    private UpstreamAnnouncer mAnnouncer;
    private volatile long mServiceMillis;
    private volatile boolean mFailing;

    /**
     * Creates the upstream.
     *
     * @param vertx runs the connections
     * @param settings service, addresses and behaviour
     * @param clock time of the records
     */
    public UpstreamServer(Vertx vertx, UpstreamSettings settings, Clock clock) {
        mVertx = vertx;
        mSettings = settings;
        mClock = clock;
        mServiceMillis = settings.serviceTime().toMillis();
        mServer = vertx.createHttpServer(options());
        mAdmin = vertx.createHttpServer(options());
    }

    /**
     * Starts to listen and to announce itself.
     *
     * @return completes when both ports are open
     */
    public Future<Void> start() {
        mServer.connectionHandler(
                connection -> {
                    mRecords.connected(1);
                    connection.closeHandler(ignored -> mRecords.connected(-1));
                });
        return mServer.requestHandler(router())
                .listen(mSettings.port(), mSettings.host())
                .compose(
                        server ->
                                mAdmin.requestHandler(adminRouter())
                                        .listen(mSettings.adminPort(), mSettings.host()))
                .map(
                        server -> {
                            startAnnouncing();
                            return null;
                        });
    }

    /**
     * The port for requests.
     *
     * @return the port
     */
    public int port() {
        return mServer.actualPort();
    }

    /**
     * The port for tests.
     *
     * @return the port
     */
    public int adminPort() {
        return mAdmin.actualPort();
    }

    /**
     * The records.
     *
     * @return the records
     */
    public UpstreamRecords records() {
        return mRecords;
    }

    /**
     * Leaves gracefully: announces it, serves what still arrives, and ends when the grace time has
     * passed and no request is running. Streams are ended then.
     *
     * @return completes when the upstream has ended
     */
    public Future<Void> leave() {
        if (mLeaving.compareAndSet(false, true)) {
            announcer().leave();
            long graceMillis = Math.max(1, mSettings.leaveGrace().toMillis());
            mVertx.setTimer(graceMillis, ignored -> endWhenIdle());
        }
        return mLeft.future();
    }

    /**
     * Completes when the upstream has left.
     *
     * @return the future
     */
    public Future<Void> left() {
        return mLeft.future();
    }

    /** Ends at once, like a process that is killed. */
    @Override
    public void close() {
        UpstreamAnnouncer announcer = announcer();
        if (announcer != null) {
            announcer.close();
        }
        mServer.close();
        mAdmin.close();
        mLeft.tryComplete();
    }

    /**
     * Options of both ports. They take no upgrade to HTTP/2: a client may lose the first answer
     * after it when the connection is closed at once.
     */
    private HttpServerOptions options() {
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

    private void endWhenIdle() {
        if (mRecords.running() == 0) {
            close();
        } else {
            mVertx.setTimer(LEAVE_CHECK_MILLIS, ignored -> endWhenIdle());
        }
    }

    private Router router() {
        Router router = Router.router(mVertx);
        router.get("/health").handler(this::health);
        router.get("/events").handler(this::events);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        router.post("/hold").handler(context -> run(context, tokenOf(context)));
        router.route("/work").handler(context -> run(context, parameter(context, "token")));
        return router;
    }

    private Router adminRouter() {
        Router router = Router.router(mVertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        router.get("/admin/executions")
                .handler(context -> JsonBodies.answer(context, OK, mRecords.summary()));
        router.post("/admin/leave")
                .handler(
                        context -> {
                            leave();
                            JsonBodies.answer(context, OK, JsonBodies.object());
                        });
        router.post("/admin/settings").handler(this::change);
        return router;
    }

    private void health(RoutingContext context) {
        int status = mLeaving.get() ? UNAVAILABLE : OK;
        ObjectNode body = JsonBodies.object().put("upstream", mSettings.name());
        JsonBodies.answer(context, status, body);
    }

    private void run(RoutingContext context, String token) {
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
        if (!mRecords.begin(mSettings.slots(), execution)) {
            context.response().putHeader("Retry-After", "1");
            ObjectNode refusal = JsonBodies.object().put("reason", "no slot is free");
            JsonBodies.answer(context, UNAVAILABLE, refusal);
            return;
        }
        long millis = numberParameter(context, "millis", mServiceMillis);
        if (millis <= 0) {
            finish(context, execution);
        } else {
            mVertx.setTimer(millis, ignored -> finish(context, execution));
        }
    }

    private void finish(RoutingContext context, UpstreamExecution execution) {
        boolean open = !context.response().closed();
        mRecords.end(open);
        if (!open) {
            return;
        }
        ObjectNode body =
                JsonBodies.object()
                        .put("upstream", mSettings.name())
                        .put("token", execution.token())
                        .put("idempotencyKey", execution.idempotencyKey())
                        .put("correlationId", execution.correlationId());
        long padding = numberParameter(context, "bytes", 0);
        if (padding > 0) {
            body.put("padding", "x".repeat((int) Math.min(padding, MAX_PADDING_BYTES)));
        }
        JsonBodies.answer(context, mFailing ? FAILURE : OK, body);
    }

    private void events(RoutingContext context) {
        HttpServerResponse response = context.response();
        response.setChunked(true)
                .putHeader("Content-Type", "text/event-stream")
                .putHeader("Cache-Control", "no-store");
        long last = number(header(context.request(), "Last-Event-ID"), 0);
        mRecords.streaming(1);
        EventStream stream = new EventStream(response, last);
        long timer =
                mVertx.setPeriodic(
                        Math.max(1, mSettings.eventInterval().toMillis()),
                        ignored -> stream.sendNext());
        response.endHandler(
                ignored -> {
                    mVertx.cancelTimer(timer);
                    mRecords.streaming(-1);
                });
        stream.sendNext();
    }

    /** Events of one stream. */
    private final class EventStream {
        private final HttpServerResponse mResponse;
        private long mLast;

        private EventStream(HttpServerResponse response, long last) {
            mResponse = response;
            mLast = last;
        }

        private void sendNext() {
            if (mResponse.closed() || mResponse.writeQueueFull()) {
                return;
            }
            mLast++;
            mResponse.write(
                    "id: " + mLast + "\ndata: event " + mLast + " of " + mSettings.name() + "\n\n");
        }
    }

    private void change(RoutingContext context) {
        try {
            ObjectNode body = JsonBodies.parse(context.body().buffer());
            if (body.has("serviceMillis")) {
                mServiceMillis = JsonBodies.number(body.get("serviceMillis"), "serviceMillis");
            }
            if (body.has("failing")) {
                mFailing = body.get("failing").asBoolean();
            }
            JsonBodies.answer(context, OK, JsonBodies.object());
        } catch (BadRequestException e) {
            ObjectNode error = JsonBodies.object().put("error", e.getMessage());
            JsonBodies.answer(context, BAD_REQUEST, error);
        }
    }

    private static String tokenOf(RoutingContext context) {
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

    private static String parameter(RoutingContext context, String name) {
        String value = context.request().getParam(name);
        return value == null ? "" : value;
    }

    private static long numberParameter(RoutingContext context, String name, long otherwise) {
        return number(parameter(context, name), otherwise);
    }

    private static long number(String text, long otherwise) {
        try {
            return text.isEmpty() ? otherwise : Long.parseLong(text);
        } catch (NumberFormatException e) {
            return otherwise;
        }
    }
}
