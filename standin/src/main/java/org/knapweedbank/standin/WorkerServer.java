package org.knapweedbank.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.worker.TaskStart;
import org.knapweedbank.worker.TaskStatus;
import org.knapweedbank.worker.WorkerProtocol;
import org.knapweedbank.worker.WorkerResult;

/**
 * Simulates the HTTP interface of a worker on top of an {@link InMemoryWorker}. The worker runs in
 * a process of its own, so its tasks and its execution records survive a crash of the agent. A
 * second port is the admin interface for tests: {@code GET /admin/executions} returns the execution
 * records, {@code POST /admin/faults} sets faults ({@code down}, {@code failEverything}, {@code
 * lose} with {@code point} and {@code count}).
 */
public final class WorkerServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_CONFLICT = 409;

    private final Vertx mVertx;
    private final InMemoryWorker mWorker;
    private final JsonMapper mMapper = WorkerProtocol.newMapper();
    private final RestartableHttpServer mServer;
    private final RestartableHttpServer mAdminServer;
    private long mTickTimerId = -1;

    /**
     * Creates the server.
     *
     * @param vertx runs the connections and timers
     * @param worker the worker that the server exposes
     * @param host address to listen on
     * @param port TCP port for the agent, or 0 for any free port
     * @param adminPort TCP port of the admin interface, or 0 for any free port
     */
    public WorkerServer(Vertx vertx, InMemoryWorker worker, String host, int port, int adminPort) {
        mVertx = vertx;
        mWorker = worker;
        mServer = new RestartableHttpServer(vertx, host, port, createRouter());
        mAdminServer = new RestartableHttpServer(vertx, host, adminPort, createAdminRouter());
        worker.faults().setDownListener(() -> mServer.setListening(!worker.faults().isDown()));
    }

    /**
     * Starts listening and returns when both ports are open. The method blocks, so it must not be
     * called on an event loop.
     */
    public void start() {
        mServer.setListening(true);
        mAdminServer.setListening(true);
    }

    /**
     * Calls {@link InMemoryWorker#tick()} periodically.
     *
     * @param interval time between two ticks
     */
    public void scheduleTicks(Duration interval) {
        mTickTimerId = mVertx.setPeriodic(interval.toMillis(), ignored -> mWorker.tick());
    }

    /**
     * Returns the TCP port for the agent.
     *
     * @return the port
     */
    public int port() {
        return mServer.port();
    }

    /**
     * Returns the TCP port of the admin interface.
     *
     * @return the port
     */
    public int adminPort() {
        return mAdminServer.port();
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mTickTimerId);
        mServer.close();
        mAdminServer.close();
    }

    private Router createRouter() {
        Router router = Router.router(mVertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        addPostRoute(router, WorkerProtocol.START_PATH, TaskStart.class, mWorker::start);
        addPostRoute(
                router,
                WorkerProtocol.RENEW_LEASES_PATH,
                WorkerProtocol.Renewal.class,
                renewal ->
                        mWorker.renew(Duration.ofMillis(renewal.ttlMillis()))
                                .map(
                                        result ->
                                                mapValue(
                                                        result,
                                                        WorkerProtocol.RenewLeasesResponse::new)));
        addAttemptRoute(router, WorkerProtocol.CHECKPOINT_PATH, mWorker::checkpoint);
        addAttemptRoute(router, WorkerProtocol.STOP_PATH, mWorker::stop);
        addPostRoute(
                router,
                WorkerProtocol.THROTTLE_PATH,
                WorkerProtocol.Throttle.class,
                throttle ->
                        mWorker.throttle(throttle.task(), throttle.attempt(), throttle.share()));
        addPostRoute(
                router,
                WorkerProtocol.FORGET_PATH,
                WorkerProtocol.AttemptRef.class,
                ref ->
                        mWorker.forget(ref.task(), ref.attempt())
                                .map(
                                        result ->
                                                mapValue(
                                                        result,
                                                        WorkerProtocol.ForgetResponse::new)));
        router.get(WorkerProtocol.LIST_TASKS_PATH)
                .handler(
                        context ->
                                respondWhenDone(
                                        context,
                                        mWorker.list()
                                                .map(
                                                        result ->
                                                                mapValue(
                                                                        result,
                                                                        WorkerProtocol.TaskList
                                                                                ::new))));
        router.get(WorkerProtocol.USAGE_PATH)
                .handler(
                        context ->
                                respondWhenDone(
                                        context,
                                        mWorker.usage()
                                                .map(
                                                        result ->
                                                                mapValue(
                                                                        result,
                                                                        WorkerProtocol.UsageList
                                                                                ::new))));
        return router;
    }

    private Router createAdminRouter() {
        Router router = Router.router(mVertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        router.get("/admin/executions")
                .handler(
                        context ->
                                respond(context, STATUS_OK, new Executions(mWorker.executions())));
        router.post("/admin/faults").handler(this::setFaults);
        return router;
    }

    /**
     * Response body of {@code GET /admin/executions}.
     *
     * @param executions execution records in the order in which they were made
     */
    private record Executions(List<ExecutionEvent> executions) {}

    /** Operation on one attempt, identified by its task and attempt number. */
    private interface AttemptOperation {
        Uni<WorkerResult<TaskStatus>> execute(TaskId task, int attempt);
    }

    private void addAttemptRoute(Router router, String path, AttemptOperation operation) {
        addPostRoute(
                router,
                path,
                WorkerProtocol.AttemptRef.class,
                ref -> operation.execute(ref.task(), ref.attempt()));
    }

    /**
     * Adds a route for POST requests to a path.
     *
     * @param type type that the request body is decoded to
     * @param operation operation of the worker that the route calls with the body
     */
    private <B, T> void addPostRoute(
            Router router,
            String path,
            Class<B> type,
            Function<B, Uni<WorkerResult<T>>> operation) {
        router.post(path)
                .handler(
                        context -> {
                            Uni<WorkerResult<T>> result;
                            try {
                                Buffer body = context.body().buffer();
                                byte[] bytes = body == null ? new byte[0] : body.getBytes();
                                result = operation.apply(mMapper.readValue(bytes, type));
                            } catch (IOException | RuntimeException e) {
                                String reason = "malformed request: " + e.getMessage();
                                respond(
                                        context,
                                        STATUS_BAD_REQUEST,
                                        new WorkerProtocol.RefusalResponse(reason));
                                return;
                            }
                            respondWhenDone(context, result);
                        });
    }

    private <T> void respondWhenDone(RoutingContext context, Uni<WorkerResult<T>> call) {
        call.subscribe()
                .with(
                        result -> {
                            switch (result) {
                                case WorkerResult.Succeeded<T>(T value) ->
                                        respond(context, STATUS_OK, value);
                                case WorkerResult.Refused<T>(String reason) ->
                                        respond(
                                                context,
                                                STATUS_CONFLICT,
                                                new WorkerProtocol.RefusalResponse(reason));
                                default -> context.request().connection().close();
                            }
                        },
                        failure -> {
                            String reason = "malformed request: " + failure.getMessage();
                            respond(
                                    context,
                                    STATUS_BAD_REQUEST,
                                    new WorkerProtocol.RefusalResponse(reason));
                        });
    }

    private void respond(RoutingContext context, int status, Object body) {
        try {
            context.response()
                    .setStatusCode(status)
                    .putHeader("Content-Type", "application/json")
                    .end(Buffer.buffer(mMapper.writeValueAsBytes(body)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static <T, R> WorkerResult<R> mapValue(
            WorkerResult<T> result, Function<T, R> function) {
        return switch (result) {
            case WorkerResult.Succeeded<T>(T value) ->
                    new WorkerResult.Succeeded<>(function.apply(value));
            case WorkerResult.Refused<T>(String reason) -> new WorkerResult.Refused<>(reason);
            case WorkerResult.Unavailable<T>(String reason) ->
                    new WorkerResult.Unavailable<>(reason);
            case WorkerResult.Unknown<T>(String reason) -> new WorkerResult.Unknown<>(reason);
        };
    }

    private void setFaults(RoutingContext context) {
        try {
            ObjectNode body = JsonBodies.parse(context.body().buffer());
            WorkerFaults faults = mWorker.faults();
            JsonNode loss = body.get("lose");
            if (loss != null) {
                faults.loseAnswers(
                        AnswerLoss.valueOf(loss.path("point").asText()),
                        (int) JsonBodies.decodeLong(loss.get("count"), "count"));
            }
            if (body.has("failEverything")) {
                faults.setFailAllAttempts(body.get("failEverything").asBoolean());
            }
            if (body.has("down")) {
                faults.setDown(body.get("down").asBoolean());
            }
            JsonBodies.respond(context, STATUS_OK, JsonBodies.newObject());
        } catch (BadRequestException | IllegalArgumentException e) {
            respond(
                    context,
                    STATUS_BAD_REQUEST,
                    new WorkerProtocol.RefusalResponse(e.getMessage()));
        }
    }
}
