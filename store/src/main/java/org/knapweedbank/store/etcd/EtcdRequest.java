package org.knapweedbank.store.etcd;

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
 * One POST request with a time limit for the whole exchange. All calls come from one event loop. A
 * failure before the request is written counts as not sent, any later one as lost.
 */
final class EtcdRequest {
    private final Vertx mVertx;
    private final EtcdSettings mSettings;
    private final byte[] mBody;
    private final Consumer<HttpOutcome> mListener;
    private final Buffer mAnswer = Buffer.buffer();
    private HttpClientRequest mRequest;
    private long mTimer;
    private boolean mDone;

    private EtcdRequest(
            Vertx vertx, EtcdSettings settings, byte[] body, Consumer<HttpOutcome> listener) {
        mVertx = vertx;
        mSettings = settings;
        mBody = body;
        mListener = listener;
    }

    static void send(
            Vertx vertx,
            HttpClient client,
            EtcdSettings settings,
            EtcdEndpoint endpoint,
            String path,
            byte[] body,
            Consumer<HttpOutcome> listener) {
        EtcdRequest request = new EtcdRequest(vertx, settings, body, listener);
        long limit = settings.callTimeout().toMillis();
        request.mTimer = vertx.setTimer(limit, ignored -> request.timedOut(limit));
        open(client, endpoint, path).onComplete(request::connected);
    }

    /** Asks for a connection. A client that was closed meanwhile fails the future. */
    static Future<HttpClientRequest> open(HttpClient client, EtcdEndpoint endpoint, String path) {
        try {
            return client.request(options(endpoint, path));
        } catch (IllegalStateException e) {
            return Future.failedFuture(e);
        }
    }

    private static RequestOptions options(EtcdEndpoint endpoint, String path) {
        return new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(endpoint.host())
                .setPort(endpoint.port())
                .setURI(path)
                .putHeader("Content-Type", "application/json");
    }

    private void connected(AsyncResult<HttpClientRequest> result) {
        if (result.failed()) {
            finish(new HttpOutcome.NotSent(reason(result.cause())));
            return;
        }
        if (mDone) {
            result.result().reset();
            return;
        }
        mRequest = result.result();
        mRequest.response().onComplete(this::responded);
        mRequest.exceptionHandler(this::lost);
        mRequest.end(Buffer.buffer(mBody));
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
                ignored ->
                        finish(
                                new HttpOutcome.Answered(
                                        response.statusCode(), mAnswer.getBytes())));
    }

    private void received(Buffer chunk) {
        if (mDone) {
            return;
        }
        if (mAnswer.length() + chunk.length() > mSettings.maxAnswerBytes()) {
            finish(
                    new HttpOutcome.Lost(
                            "answer is larger than " + mSettings.maxAnswerBytes() + " bytes"));
            mRequest.reset();
            return;
        }
        mAnswer.appendBuffer(chunk);
    }

    private void timedOut(long limitMillis) {
        String reason = "no answer within " + limitMillis + " ms";
        if (mRequest == null) {
            finish(new HttpOutcome.NotSent("no connection within " + limitMillis + " ms"));
        } else {
            finish(new HttpOutcome.Lost(reason));
            mRequest.reset();
        }
    }

    private void lost(Throwable cause) {
        finish(new HttpOutcome.Lost(reason(cause)));
    }

    private void finish(HttpOutcome outcome) {
        if (mDone) {
            return;
        }
        mDone = true;
        mVertx.cancelTimer(mTimer);
        mListener.accept(outcome);
    }

    static String reason(Throwable cause) {
        return cause.getMessage() == null ? cause.toString() : cause.getMessage();
    }
}
