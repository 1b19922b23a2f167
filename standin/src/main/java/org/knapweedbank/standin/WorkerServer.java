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
 * HTTP stand-in of a worker over an {@link InMemoryWorker}. It is a process of its own, so its
 * tasks and its record of executions survive the death of the agent. A second port serves tests:
 * {@code GET /admin/executions} reads the record, {@code POST /admin/faults} sets faults ({@code
 * down}, {@code failEverything}, {@code lose} with {@code point} and {@code count}).
 */
public final class WorkerServer implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;

    private final Vertx mVertx;
    private final InMemoryWorker mWorker;
    private final JsonMapper mMapper = WorkerProtocol.newMapper();
    private final SwitchedHttpServer mServer;
    private final SwitchedHttpServer mAdmin;
    private long mTimer = -1;

    /**
     * Creates the server.
     *
     * @param vertx runs the connections
     * @param worker the worker behind it
     * @param host address to listen on
     * @param port port for the agent, or 0 for any
     * @param adminPort port for tests, or 0 for any
     */
    public WorkerServer(Vertx vertx, InMemoryWorker worker, String host, int port, int adminPort) {
        mVertx = vertx;
        mWorker = worker;
        mServer = new SwitchedHttpServer(vertx, host, port, router());
        mAdmin = new SwitchedHttpServer(vertx, host, adminPort, adminRouter());
        worker.faults().onDownChanged(() -> mServer.listening(!worker.faults().isDown()));
    }

    /** Starts to listen and returns when the ports are open. Not to be called on an event loop. */
    public void start() {
        mServer.listening(true);
        mAdmin.listening(true);
    }

    /**
     * Lets the server call {@link InMemoryWorker#tick()}.
     *
     * @param interval time between two calls
     */
    public void tickEvery(Duration interval) {
        mTimer = mVertx.setPeriodic(interval.toMillis(), ignored -> mWorker.tick());
    }

    /**
     * The port for the agent.
     *
     * @return the port
     */
    public int port() {
        return mServer.port();
    }

    /**
     * The port for tests.
     *
     * @return the port
     */
    public int adminPort() {
        return mAdmin.port();
    }

    @Override
    public void close() {
        mVertx.cancelTimer(mTimer);
        mServer.close();
        mAdmin.close();
    }

    private Router router() {
        Router router = Router.router(mVertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        post(router, WorkerProtocol.START_PATH, TaskStart.class, mWorker::start);
        post(
                router,
                WorkerProtocol.RENEW_LEASES_PATH,
                WorkerProtocol.Renewal.class,
                renewal ->
                        mWorker.renew(Duration.ofMillis(renewal.ttlMillis()))
                                .map(
                                        result ->
                                                map(
                                                        result,
                                                        WorkerProtocol.RenewLeasesResponse::new)));
        postAttempt(router, WorkerProtocol.CHECKPOINT_PATH, mWorker::checkpoint);
        postAttempt(router, WorkerProtocol.STOP_PATH, mWorker::stop);
        post(
                router,
                WorkerProtocol.THROTTLE_PATH,
                WorkerProtocol.Throttle.class,
                t -> mWorker.throttle(t.task(), t.attempt(), t.share()));
        post(
                router,
                WorkerProtocol.FORGET_PATH,
                WorkerProtocol.AttemptRef.class,
                ref ->
                        mWorker.forget(ref.task(), ref.attempt())
                                .map(result -> map(result, WorkerProtocol.ForgetResponse::new)));
        router.get(WorkerProtocol.LIST_TASKS_PATH)
                .handler(
                        context ->
                                answer(
                                        context,
                                        mWorker.list()
                                                .map(
                                                        r ->
                                                                map(
                                                                        r,
                                                                        WorkerProtocol
                                                                                        .ListTasksResponse
                                                                                ::new))));
        router.get(WorkerProtocol.USAGE_PATH)
                .handler(
                        context ->
                                answer(
                                        context,
                                        mWorker.usage()
                                                .map(
                                                        r ->
                                                                map(
                                                                        r,
                                                                        WorkerProtocol.UsageResponse
                                                                                ::new))));
        return router;
    }

    private Router adminRouter() {
        Router router = Router.router(mVertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        router.get("/admin/executions")
                .handler(context -> send(context, OK, new Executions(mWorker.executions())));
        router.post("/admin/faults").handler(this::setFaults);
        return router;
    }

    /** Body of the answer with the record of executions. */
    private record Executions(List<ExecutionEvent> executions) {}

    /** An operation on one attempt. */
    private interface AttemptCall {
        Uni<WorkerResult<TaskStatus>> call(TaskId task, int attempt);
    }

    private void postAttempt(Router router, String path, AttemptCall call) {
        post(
                router,
                path,
                WorkerProtocol.AttemptRef.class,
                ref -> call.call(ref.task(), ref.attempt()));
    }

    private <B, T> void post(
            Router router, String path, Class<B> type, Function<B, Uni<WorkerResult<T>>> call) {
        router.post(path)
                .handler(
                        context -> {
                            Uni<WorkerResult<T>> result;
                            try {
                                Buffer body = context.body().buffer();
                                byte[] bytes = body == null ? new byte[0] : body.getBytes();
                                result = call.apply(mMapper.readValue(bytes, type));
                            } catch (IOException | RuntimeException e) {
                                String reason = "malformed request: " + e.getMessage();
                                send(
                                        context,
                                        BAD_REQUEST,
                                        new WorkerProtocol.RefusalResponse(reason));
                                return;
                            }
                            answer(context, result);
                        });
    }

    private <T> void answer(RoutingContext context, Uni<WorkerResult<T>> call) {
        call.subscribe()
                .with(
                        result -> {
                            switch (result) {
                                case WorkerResult.Succeeded<T>(T value) -> send(context, OK, value);
                                case WorkerResult.Refused<T>(String reason) ->
                                        send(
                                                context,
                                                CONFLICT,
                                                new WorkerProtocol.RefusalResponse(reason));
                                default -> context.request().connection().close();
                            }
                        },
                        failure -> {
                            String reason = "malformed request: " + failure.getMessage();
                            send(context, BAD_REQUEST, new WorkerProtocol.RefusalResponse(reason));
                        });
    }

    private void send(RoutingContext context, int status, Object body) {
        try {
            context.response()
                    .setStatusCode(status)
                    .putHeader("Content-Type", "application/json")
                    .end(Buffer.buffer(mMapper.writeValueAsBytes(body)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static <T, R> WorkerResult<R> map(WorkerResult<T> result, Function<T, R> function) {
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
            JsonNode lose = body.get("lose");
            if (lose != null) {
                faults.loseAnswers(
                        AnswerLoss.valueOf(lose.path("point").asText()),
                        (int) JsonBodies.number(lose.get("count"), "count"));
            }
            if (body.has("failEverything")) {
                faults.failEverything(body.get("failEverything").asBoolean());
            }
            if (body.has("down")) {
                faults.down(body.get("down").asBoolean());
            }
            JsonBodies.answer(context, OK, JsonBodies.object());
        } catch (BadRequestException | IllegalArgumentException e) {
            send(context, BAD_REQUEST, new WorkerProtocol.RefusalResponse(e.getMessage()));
        }
    }
}
