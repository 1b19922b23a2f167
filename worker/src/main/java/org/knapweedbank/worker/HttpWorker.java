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
 * Client of a worker's HTTP/JSON interface. All results are delivered on one event loop, which the
 * caller must not block. The client does not retry. If the response to a request that changes state
 * is lost, the result is {@link WorkerResult.Unknown}, because the worker may have carried out the
 * request. A query changes nothing, so a lost response yields {@link WorkerResult.Unavailable}.
 */
public final class HttpWorker implements Worker, AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(HttpWorker.class);
    private static final int STATUS_OK = 200;
    private static final int FIRST_CLIENT_ERROR_STATUS = 400;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    private static final int MAX_CONNECTIONS = 4;
    private static final int MAX_QUEUED_REQUESTS = 256;

    private final Vertx mVertx;
    private final HttpWorkerSettings mSettings;
    private final Context mContext;
    private final HttpClient mClient;
    private final JsonMapper mJsonMapper = WorkerProtocol.newMapper();
    private volatile boolean mClosed;

    /**
     * Creates the client. Connections are opened on demand.
     *
     * @param vertx runs the connections and timers
     * @param settings address of the worker, timeouts and size limit
     */
    public HttpWorker(Vertx vertx, HttpWorkerSettings settings) {
        mVertx = vertx;
        mSettings = settings;
        mContext = vertx.getOrCreateContext();
        HttpClientOptions options =
                new HttpClientOptions()
                        .setConnectTimeout((int) settings.connectTimeout().toMillis())
                        .setMaxWaitQueueSize(MAX_QUEUED_REQUESTS);
        mClient =
                vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> start(TaskStart start) {
        return postTaskRequest(WorkerProtocol.START_PATH, start);
    }

    @Override
    public Uni<WorkerResult<Integer>> renew(Duration ttl) {
        return call(
                WorkerProtocol.RENEW_LEASES_PATH,
                new WorkerProtocol.Renewal(ttl.toMillis()),
                WorkerProtocol.RenewLeasesResponse.class,
                Objects::nonNull,
                WorkerProtocol.RenewLeasesResponse::tasks);
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> checkpoint(TaskId task, int attempt) {
        return postTaskRequest(
                WorkerProtocol.CHECKPOINT_PATH, new WorkerProtocol.AttemptRef(task, attempt));
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> throttle(TaskId task, int attempt, double share) {
        return postTaskRequest(
                WorkerProtocol.THROTTLE_PATH, new WorkerProtocol.Throttle(task, attempt, share));
    }

    @Override
    public Uni<WorkerResult<TaskStatus>> stop(TaskId task, int attempt) {
        return postTaskRequest(
                WorkerProtocol.STOP_PATH, new WorkerProtocol.AttemptRef(task, attempt));
    }

    @Override
    public Uni<WorkerResult<List<TaskStatus>>> list() {
        return call(
                WorkerProtocol.LIST_TASKS_PATH,
                null,
                WorkerProtocol.TaskList.class,
                tasks ->
                        tasks.tasks() != null
                                && tasks.tasks().stream().allMatch(HttpWorker::isComplete),
                WorkerProtocol.TaskList::tasks);
    }

    @Override
    public Uni<WorkerResult<Boolean>> forget(TaskId task, int attempt) {
        return call(
                WorkerProtocol.FORGET_PATH,
                new WorkerProtocol.AttemptRef(task, attempt),
                WorkerProtocol.ForgetResponse.class,
                Objects::nonNull,
                WorkerProtocol.ForgetResponse::known);
    }

    @Override
    public Uni<WorkerResult<List<TaskUsage>>> usage() {
        return call(
                WorkerProtocol.USAGE_PATH,
                null,
                WorkerProtocol.UsageList.class,
                samples ->
                        samples.samples() != null
                                && samples.samples().stream().allMatch(HttpWorker::isComplete),
                WorkerProtocol.UsageList::samples);
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

    private Uni<WorkerResult<TaskStatus>> postTaskRequest(String path, Object request) {
        return call(path, request, TaskStatus.class, HttpWorker::isComplete, Function.identity());
    }

    /**
     * Sends a request and decodes its response.
     *
     * @param request body of a POST request, or null for a query, which is sent by GET
     * @param bodyType type that the response body is decoded to
     * @param isValid tells whether the decoded body has all required fields
     * @param toValue extracts the value of the result from the body
     */
    private <B, T> Uni<WorkerResult<T>> call(
            String path,
            Object request,
            Class<B> bodyType,
            Predicate<B> isValid,
            Function<B, T> toValue) {
        boolean isQuery = request == null;
        byte[] body = isQuery ? new byte[0] : encode(request);
        return Uni.createFrom()
                .<WorkerExchange.Outcome>emitter(
                        emitter ->
                                mContext.runOnContext(
                                        ignored -> send(path, isQuery, body, emitter::complete)))
                .map(
                        outcome ->
                                switch (outcome) {
                                    case WorkerExchange.Outcome.ResponseReceived response ->
                                            toResult(
                                                    path, isQuery, response, bodyType, isValid,
                                                    toValue);
                                    case WorkerExchange.Outcome.NotSent(String reason) ->
                                            new WorkerResult.Unavailable<>(reason);
                                    case WorkerExchange.Outcome.NoResponse(String reason) ->
                                            resultWithoutResponse(isQuery, reason);
                                });
    }

    private void send(
            String path,
            boolean isQuery,
            byte[] body,
            Consumer<WorkerExchange.Outcome> outcomeConsumer) {
        if (mClosed) {
            outcomeConsumer.accept(new WorkerExchange.Outcome.NotSent("the client is closed"));
            return;
        }
        HttpMethod method = isQuery ? HttpMethod.GET : HttpMethod.POST;
        WorkerExchange.start(mVertx, mClient, mSettings, method, path, body, outcomeConsumer);
    }

    private <B, T> WorkerResult<T> toResult(
            String path,
            boolean isQuery,
            WorkerExchange.Outcome.ResponseReceived response,
            Class<B> bodyType,
            Predicate<B> isValid,
            Function<B, T> toValue) {
        int status = response.status();
        if (status >= FIRST_CLIENT_ERROR_STATUS && status < FIRST_SERVER_ERROR_STATUS) {
            return new WorkerResult.Refused<>(refusalReason(response));
        }
        if (status != STATUS_OK) {
            return resultWithoutResponse(isQuery, "status " + status);
        }
        try {
            B body = mJsonMapper.readValue(response.body(), bodyType);
            if (body != null && isValid.test(body)) {
                return new WorkerResult.Succeeded<>(toValue.apply(body));
            }
            LOG.warn("[worker] response to {} lacks required fields", path);
        } catch (IOException e) {
            LOG.warn(
                    "[worker] cannot decode the response to {}: {}",
                    path,
                    messageWithoutLocation(e));
        }
        return resultWithoutResponse(isQuery, "malformed answer");
    }

    private String refusalReason(WorkerExchange.Outcome.ResponseReceived response) {
        try {
            WorkerProtocol.RefusalResponse refusal =
                    mJsonMapper.readValue(response.body(), WorkerProtocol.RefusalResponse.class);
            if (refusal != null && refusal.reason() != null) {
                return refusal.reason();
            }
        } catch (IOException e) {
            LOG.debug(
                    "[worker] cannot decode the reason of a refused request: {}",
                    messageWithoutLocation(e));
        }
        return "status " + response.status();
    }

    private static <T> WorkerResult<T> resultWithoutResponse(boolean isQuery, String reason) {
        return isQuery
                ? new WorkerResult.Unavailable<>(reason)
                : new WorkerResult.Unknown<>(reason);
    }

    private byte[] encode(Object request) {
        try {
            return mJsonMapper.writeValueAsBytes(request);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("request cannot be encoded", e);
        }
    }

    private static String messageWithoutLocation(IOException e) {
        return e instanceof JsonProcessingException json
                ? json.getOriginalMessage()
                : String.valueOf(e.getMessage());
    }
}
