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
 * POST request with a timeout for the whole exchange. All methods are called on one event loop. A
 * failure before the request is written is reported as {@link HttpOutcome.NotSent}, any later
 * failure as {@link HttpOutcome.NoUsableResponse}.
 */
final class EtcdRequest {
    private final Vertx mVertx;
    private final EtcdSettings mSettings;
    private final byte[] mBody;
    private final Consumer<HttpOutcome> mListener;
    private final Buffer mResponseBody = Buffer.buffer();
    private HttpClientRequest mRequest;
    private long mTimer;
    private boolean mFinished;

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
        long timeoutMillis = settings.callTimeout().toMillis();
        request.mTimer =
                vertx.setTimer(timeoutMillis, ignored -> request.handleTimeout(timeoutMillis));
        openRequest(client, endpoint, path).onComplete(request::handleConnection);
    }

    /** Opens a connection for a request. The future fails if the client has been closed. */
    static Future<HttpClientRequest> openRequest(
            HttpClient client, EtcdEndpoint endpoint, String path) {
        try {
            return client.request(requestOptions(endpoint, path));
        } catch (IllegalStateException e) {
            return Future.failedFuture(e);
        }
    }

    private static RequestOptions requestOptions(EtcdEndpoint endpoint, String path) {
        return new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(endpoint.host())
                .setPort(endpoint.port())
                .setURI(path)
                .putHeader("Content-Type", "application/json");
    }

    private void handleConnection(AsyncResult<HttpClientRequest> result) {
        if (result.failed()) {
            finish(new HttpOutcome.NotSent(failureReason(result.cause())));
            return;
        }
        if (mFinished) {
            result.result().reset();
            return;
        }
        mRequest = result.result();
        mRequest.response().onComplete(this::handleResponse);
        mRequest.exceptionHandler(this::handleFailure);
        mRequest.end(Buffer.buffer(mBody));
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
                        finish(
                                new HttpOutcome.ResponseReceived(
                                        response.statusCode(), mResponseBody.getBytes())));
    }

    private void handleChunk(Buffer chunk) {
        if (mFinished) {
            return;
        }
        if (mResponseBody.length() + chunk.length() > mSettings.maxResponseBytes()) {
            finish(
                    new HttpOutcome.NoUsableResponse(
                            "response is larger than " + mSettings.maxResponseBytes() + " bytes"));
            mRequest.reset();
            return;
        }
        mResponseBody.appendBuffer(chunk);
    }

    private void handleTimeout(long timeoutMillis) {
        String reason = "no complete response within " + timeoutMillis + " ms";
        if (mRequest == null) {
            finish(new HttpOutcome.NotSent("no connection within " + timeoutMillis + " ms"));
        } else {
            finish(new HttpOutcome.NoUsableResponse(reason));
            mRequest.reset();
        }
    }

    private void handleFailure(Throwable cause) {
        finish(new HttpOutcome.NoUsableResponse(failureReason(cause)));
    }

    private void finish(HttpOutcome outcome) {
        if (mFinished) {
            return;
        }
        mFinished = true;
        mVertx.cancelTimer(mTimer);
        mListener.accept(outcome);
    }

    static String failureReason(Throwable cause) {
        return cause.getMessage() == null ? cause.toString() : cause.getMessage();
    }
}
