package org.knapweedbank.worker;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.model.TaskId;

/**
 * Worker behind its HTTP/JSON interface. Results are given on one event loop, which must not be
 * blocked. A change whose answer is lost is unknown and is not sent again; a query has no effect,
 * so the loss of its answer is unavailable.
 */
public final class HttpWorker implements Worker, AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(HttpWorker.class);
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int SERVER_ERROR = 500;
    private static final int MAX_CONNECTIONS = 4;
    private static final int MAX_WAITING_CALLS = 256;

    private final Vertx mVertx;
    private final HttpWorkerSettings mSettings;
    private final Context mContext;
    private final HttpClient mClient;
    private final JsonMapper mMapper = WorkerProtocol.mapper();
    private volatile boolean mClosed;

    /**
     * Creates the client; connections are made when they are needed.
     *
     * @param vertx runs the connections
     * @param settings address and limits
     */
    public HttpWorker(Vertx vertx, HttpWorkerSettings settings) {
        mVertx = vertx;
        mSettings = settings;
        mContext = vertx.getOrCreateContext();
        HttpClientOptions options =
                new HttpClientOptions()
                        .setConnectTimeout((int) settings.connectTimeout().toMillis())
                        .setMaxWaitQueueSize(MAX_WAITING_CALLS);
        mClient =
                vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> start(TaskStart start) {
        return change(WorkerProtocol.START, start);
    }

    @Override
    public Uni<WorkerResult<Integer>> renew(Duration ttl) {
        return call(
                WorkerProtocol.RENEW,
                new WorkerProtocol.Renewal(ttl.toMillis()),
                WorkerProtocol.Renewed.class,
                Objects::nonNull,
                WorkerProtocol.Renewed::tasks);
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> checkpoint(TaskId task, int attempt) {
        return change(WorkerProtocol.CHECKPOINT, new WorkerProtocol.AttemptRef(task, attempt));
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> throttle(TaskId task, int attempt, double share) {
        return change(WorkerProtocol.THROTTLE, new WorkerProtocol.Throttle(task, attempt, share));
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> stop(TaskId task, int attempt) {
        return change(WorkerProtocol.STOP, new WorkerProtocol.AttemptRef(task, attempt));
    }

    @Override
    public Uni<WorkerResult<List<TaskStatus>>> list() {
        return call(
                WorkerProtocol.LIST,
                null,
                WorkerProtocol.Tasks.class,
                tasks ->
                        tasks.tasks() != null
                                && tasks.tasks().stream().allMatch(HttpWorker::isComplete),
                WorkerProtocol.Tasks::tasks);
    }

    @Override
    public Uni<WorkerResult<Boolean>> forget(TaskId task, int attempt) {
        return call(
                WorkerProtocol.FORGET,
                new WorkerProtocol.AttemptRef(task, attempt),
                WorkerProtocol.Forgotten.class,
                Objects::nonNull,
                WorkerProtocol.Forgotten::known);
    }

    @Override
    public Uni<WorkerResult<List<TaskUsage>>> usage() {
        return call(
                WorkerProtocol.USAGE,
                null,
                WorkerProtocol.Samples.class,
                samples ->
                        samples.samples() != null
                                && samples.samples().stream().allMatch(HttpWorker::isComplete),
                WorkerProtocol.Samples::samples);
    }

    @Override
    public void close() {
        mClosed = true;
        mClient.close();
    }

    private static boolean isComplete(TaskStatus status) {
        return status != null
                && status.task() != null
                && status.state() != null
                && status.resources() != null
                && status.detail() != null;
    }

    private static boolean isComplete(TaskUsage usage) {
        return usage != null && usage.task() != null && usage.used() != null;
    }

    private Uni<WorkerResult<TaskStatus>> change(String path, Object request) {
        return call(path, request, TaskStatus.class, HttpWorker::isComplete, Function.identity());
    }

    /** Makes a call; a request without a body is a query. */
    private <A, T> Uni<WorkerResult<T>> call(
            String path,
            Object request,
            Class<A> type,
            Predicate<A> complete,
            Function<A, T> value) {
        boolean query = request == null;
        byte[] body = query ? new byte[0] : encode(request);
        return Uni.createFrom()
                .<WorkerExchange.Outcome>emitter(
                        emitter ->
                                mContext.runOnContext(
                                        ignored -> send(path, query, body, emitter::complete)))
                .map(
                        outcome ->
                                switch (outcome) {
                                    case WorkerExchange.Outcome.Answered answer ->
                                            answered(path, query, answer, type, complete, value);
                                    case WorkerExchange.Outcome.NotSent(String reason) ->
                                            new WorkerResult.Unavailable<>(reason);
                                    case WorkerExchange.Outcome.Lost(String reason) ->
                                            lost(query, reason);
                                });
    }

    private void send(
            String path, boolean query, byte[] body, Consumer<WorkerExchange.Outcome> listener) {
        if (mClosed) {
            listener.accept(new WorkerExchange.Outcome.NotSent("the client is closed"));
            return;
        }
        HttpMethod method = query ? HttpMethod.GET : HttpMethod.POST;
        WorkerExchange.run(mVertx, mClient, mSettings, method, path, body, listener);
    }

    private <A, T> WorkerResult<T> answered(
            String path,
            boolean query,
            WorkerExchange.Outcome.Answered answer,
            Class<A> type,
            Predicate<A> complete,
            Function<A, T> value) {
        int status = answer.status();
        if (status >= BAD_REQUEST && status < SERVER_ERROR) {
            return new WorkerResult.Refused<>(refusal(answer));
        }
        if (status != OK) {
            return lost(query, "status " + status);
        }
        try {
            A decoded = mMapper.readValue(answer.body(), type);
            if (decoded != null && complete.test(decoded)) {
                return new WorkerResult.Succeeded<>(value.apply(decoded));
            }
            LOG.warn("[worker] answer to {} lacks fields", path);
        } catch (IOException e) {
            LOG.warn("[worker] malformed answer to {}: {}", path, firstLine(e));
        }
        return lost(query, "malformed answer");
    }

    private String refusal(WorkerExchange.Outcome.Answered answer) {
        try {
            WorkerProtocol.Refusal refusal =
                    mMapper.readValue(answer.body(), WorkerProtocol.Refusal.class);
            if (refusal != null && refusal.reason() != null) {
                return refusal.reason();
            }
        } catch (IOException e) {
            LOG.debug("[worker] refusal without a reason: {}", firstLine(e));
        }
        return "status " + answer.status();
    }

    private static <T> WorkerResult<T> lost(boolean query, String reason) {
        return query ? new WorkerResult.Unavailable<>(reason) : new WorkerResult.Unknown<>(reason);
    }

    private byte[] encode(Object request) {
        try {
            return mMapper.writeValueAsBytes(request);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("request cannot be encoded", e);
        }
    }

    private static String firstLine(IOException e) {
        return e instanceof JsonProcessingException json
                ? json.getOriginalMessage()
                : String.valueOf(e.getMessage());
    }
}
