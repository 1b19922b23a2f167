package org.knapweedbank.worker;

import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.function.Consumer;

/**
 * Sends one HTTP request and collects its response, with a timeout for the whole exchange. All
 * methods run on one event loop. A failure before the request is written ends in {@link
 * Outcome.NotSent}, a later failure in {@link Outcome.NoResponse}. Only the first outcome is
 * reported.
 */
final class WorkerExchange {
    private final HttpWorkerSettings mSettings;
    private final Vertx mVertx;
    private final Buffer mRequestBody;
    private final Consumer<Outcome> mOutcomeConsumer;
    private final Buffer mResponseBody = Buffer.buffer();
    private HttpClientRequest mRequest;
    private long mTimerId;
    private boolean mCompleted;

    /** Outcome of an exchange, reported exactly once. */
    sealed interface Outcome {
        /** The complete response arrived, whatever its status. */
        record ResponseReceived(int status, byte[] body) implements Outcome {}

        /** No byte of the request was written, so the worker cannot have received it. */
        record NotSent(String reason) implements Outcome {}

        /** The worker may have received the request, but no complete response arrived. */
        record NoResponse(String reason) implements Outcome {}
    }

    private WorkerExchange(
            Vertx vertx,
            HttpWorkerSettings settings,
            Buffer requestBody,
            Consumer<Outcome> outcomeConsumer) {
        mVertx = vertx;
        mSettings = settings;
        mRequestBody = requestBody;
        mOutcomeConsumer = outcomeConsumer;
    }

    /**
     * Starts an exchange.
     *
     * @param outcomeConsumer receives the outcome on the event loop of the caller
     */
    static void start(
            Vertx vertx,
            HttpClient client,
            HttpWorkerSettings settings,
            HttpMethod method,
            String path,
            byte[] requestBody,
            Consumer<Outcome> outcomeConsumer) {
        WorkerExchange exchange =
                new WorkerExchange(vertx, settings, Buffer.buffer(requestBody), outcomeConsumer);
        RequestOptions options =
                new RequestOptions()
                        .setMethod(method)
                        .setHost(settings.host())
                        .setPort(settings.port())
                        .setURI(path)
                        .putHeader("Content-Type", "application/json");
        exchange.mTimerId =
                vertx.setTimer(
                        settings.callTimeout().toMillis(), ignored -> exchange.handleTimeout());
        requestConnection(client, options).onComplete(exchange::handleConnection);
    }

    /** Requests a connection. The future fails if the client has been closed in the meantime. */
    private static Future<HttpClientRequest> requestConnection(
            HttpClient client, RequestOptions options) {
        try {
            return client.request(options);
        } catch (IllegalStateException e) {
            return Future.failedFuture(e);
        }
    }

    private void handleConnection(AsyncResult<HttpClientRequest> result) {
        if (result.failed()) {
            complete(new Outcome.NotSent(messageOf(result.cause())));
        } else if (mCompleted) {
            result.result().reset();
        } else {
            mRequest = result.result();
            mRequest.response().onComplete(this::handleResponse);
            mRequest.exceptionHandler(this::handleFailure);
            mRequest.end(mRequestBody);
        }
    }

    private void handleResponse(AsyncResult<HttpClientResponse> result) {
        if (result.failed()) {
            handleFailure(result.cause());
            return;
        }
        HttpClientResponse response = result.result();
        response.exceptionHandler(this::handleFailure);
        response.handler(this::handleChunk);
        response.endHandler(
                ignored ->
                        complete(
                                new Outcome.ResponseReceived(
                                        response.statusCode(), mResponseBody.getBytes())));
    }

    private void handleChunk(Buffer chunk) {
        if (mCompleted) {
            return;
        }
        if (mResponseBody.length() + chunk.length() > mSettings.maxResponseBytes()) {
            complete(
                    new Outcome.NoResponse(
                            "answer exceeds " + mSettings.maxResponseBytes() + " bytes"));
            mRequest.reset();
        } else {
            mResponseBody.appendBuffer(chunk);
        }
    }

    private void handleTimeout() {
        String timeLimit = mSettings.callTimeout().toMillis() + " ms";
        if (mRequest == null) {
            complete(new Outcome.NotSent("no connection within " + timeLimit));
        } else {
            complete(new Outcome.NoResponse("no answer within " + timeLimit));
            mRequest.reset();
        }
    }

    private void handleFailure(Throwable cause) {
        complete(new Outcome.NoResponse(messageOf(cause)));
    }

    private void complete(Outcome outcome) {
        if (!mCompleted) {
            mCompleted = true;
            mVertx.cancelTimer(mTimerId);
            mOutcomeConsumer.accept(outcome);
        }
    }

    private static String messageOf(Throwable cause) {
        return cause.getMessage() == null ? cause.toString() : cause.getMessage();
    }
}
