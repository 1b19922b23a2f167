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
 * One HTTP exchange with a time limit for the whole of it. All calls come from one event loop. A
 * failure before the request is written counts as not sent, any later one as lost.
 */
final class WorkerExchange {
    private final HttpWorkerSettings mSettings;
    private final Vertx mVertx;
    private final Buffer mBody;
    private final Consumer<Outcome> mListener;
    private final Buffer mAnswer = Buffer.buffer();
    private HttpClientRequest mRequest;
    private long mTimer;
    private boolean mDone;

    /** Outcome of an exchange. */
    sealed interface Outcome {
        /** A whole answer arrived. */
        record Answered(int status, byte[] body) implements Outcome {}

        /** No byte of the request was written. */
        record NotSent(String reason) implements Outcome {}

        /** The request may have been received; there is no usable answer. */
        record Lost(String reason) implements Outcome {}
    }

    private WorkerExchange(
            Vertx vertx, HttpWorkerSettings settings, Buffer body, Consumer<Outcome> listener) {
        mVertx = vertx;
        mSettings = settings;
        mBody = body;
        mListener = listener;
    }

    static void run(
            Vertx vertx,
            HttpClient client,
            HttpWorkerSettings settings,
            HttpMethod method,
            String path,
            byte[] body,
            Consumer<Outcome> listener) {
        WorkerExchange exchange =
                new WorkerExchange(vertx, settings, Buffer.buffer(body), listener);
        RequestOptions options =
                new RequestOptions()
                        .setMethod(method)
                        .setHost(settings.host())
                        .setPort(settings.port())
                        .setURI(path)
                        .putHeader("Content-Type", "application/json");
        exchange.mTimer =
                vertx.setTimer(settings.callTimeout().toMillis(), ignored -> exchange.timedOut());
        open(client, options).onComplete(exchange::connected);
    }

    /** Asks for a connection. A client that was closed meanwhile fails the future. */
    private static Future<HttpClientRequest> open(HttpClient client, RequestOptions options) {
        try {
            return client.request(options);
        } catch (IllegalStateException e) {
            return Future.failedFuture(e);
        }
    }

    private void connected(AsyncResult<HttpClientRequest> result) {
        if (result.failed()) {
            finish(new Outcome.NotSent(reason(result.cause())));
        } else if (mDone) {
            result.result().reset();
        } else {
            mRequest = result.result();
            mRequest.response().onComplete(this::responded);
            mRequest.exceptionHandler(this::lost);
            mRequest.end(mBody);
        }
    }

    private void responded(AsyncResult<HttpClientResponse> result) {
        if (result.failed()) {
            lost(result.cause());
            return;
        }
        HttpClientResponse response = result.result();
        response.exceptionHandler(this::lost);
        response.handler(this::received);
        response.endHandler(
                ignored -> finish(new Outcome.Answered(response.statusCode(), mAnswer.getBytes())));
    }

    private void received(Buffer chunk) {
        if (mDone) {
            return;
        }
        if (mAnswer.length() + chunk.length() > mSettings.maxAnswerBytes()) {
            finish(new Outcome.Lost("answer exceeds " + mSettings.maxAnswerBytes() + " bytes"));
            mRequest.reset();
        } else {
            mAnswer.appendBuffer(chunk);
        }
    }

    private void timedOut() {
        String limit = mSettings.callTimeout().toMillis() + " ms";
        if (mRequest == null) {
            finish(new Outcome.NotSent("no connection within " + limit));
        } else {
            finish(new Outcome.Lost("no answer within " + limit));
            mRequest.reset();
        }
    }

    private void lost(Throwable cause) {
        finish(new Outcome.Lost(reason(cause)));
    }

    private void finish(Outcome outcome) {
        if (!mDone) {
            mDone = true;
            mVertx.cancelTimer(mTimer);
            mListener.accept(outcome);
        }
    }

    private static String reason(Throwable cause) {
        return cause.getMessage() == null ? cause.toString() : cause.getMessage();
    }
}
