package org.knapweedbank.agent;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.Locale;
import org.knapweedbank.wire.Request;

/**
 * Forwards requests over HTTP/1.1. An answer is complete only if its end is marked by a length or
 * by chunked coding; the end of the connection does not mark the end of an answer.
 */
final class HttpUpstreamCaller implements UpstreamCaller {
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final int KEEP_ALIVE_SECONDS = 30;

    /**
     * Maximum number of connections to one upstream in the pool; the slot table enforces the
     * announced number.
     */
    private static final int MAX_CONNECTIONS_PER_UPSTREAM = 1024;

    private final HttpClient mClient;

    HttpUpstreamCaller(Vertx vertx) {
        mClient =
                vertx.createHttpClient(
                        new HttpClientOptions()
                                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                                .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
                                .setTcpNoDelay(true),
                        new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_UPSTREAM));
    }

    void close() {
        mClient.close();
    }

    @Override
    public UpstreamCall call(String address, Request request, UpstreamCallListener listener) {
        Exchange exchange = new Exchange(request, listener);
        RequestOptions options;
        try {
            options = options(address, request);
        } catch (IllegalArgumentException e) {
            listener.failed(false, "request is not valid HTTP: " + e.getMessage());
            return exchange;
        }
        mClient.request(options)
                .onSuccess(exchange::send)
                .onFailure(e -> exchange.failed(false, "cannot connect: " + e.getMessage()));
        return exchange;
    }

    private static RequestOptions options(String address, Request request) {
        if (!request.path().startsWith("/")) {
            throw new IllegalArgumentException("path does not begin with /");
        }
        int colon = address.lastIndexOf(':');
        RequestOptions options =
                new RequestOptions()
                        .setHost(address.substring(0, colon))
                        .setPort(Integer.parseInt(address.substring(colon + 1)))
                        .setMethod(HttpMethod.valueOf(request.method()))
                        .setURI(request.path());
        request.headers().stream()
                .filter(HeaderRules::isForwardedToUpstream)
                .forEach(h -> options.addHeader(h.name(), h.value()));
        if (!request.correlationId().isEmpty()) {
            options.putHeader(HeaderRules.CORRELATION_ID, request.correlationId());
        }
        return options;
    }

    /** A request to an upstream and its answer. */
    private static final class Exchange implements UpstreamCall {
        private final Request mRequest;
        private final UpstreamCallListener mListener;
        private HttpClientRequest mHttpRequest;
        private HttpClientResponse mResponse;
        private boolean mPaused;
        private boolean mDone;
        private long mExpectedBytes = -1;
        private long mReceivedBytes;
        private boolean mBodyDelimited;

        private Exchange(Request request, UpstreamCallListener listener) {
            mRequest = request;
            mListener = listener;
        }

        @Override
        public void cancel() {
            mDone = true;
            if (mHttpRequest != null) {
                mHttpRequest.reset();
            }
        }

        @Override
        public void pause() {
            mPaused = true;
            if (mResponse != null) {
                mResponse.pause();
            }
        }

        @Override
        public void resume() {
            mPaused = false;
            if (mResponse != null) {
                mResponse.resume();
            }
        }

        private void send(HttpClientRequest httpRequest) {
            mHttpRequest = httpRequest;
            if (mDone) {
                httpRequest.reset();
                return;
            }
            httpRequest.exceptionHandler(e -> failed(true, "connection broke: " + e.getMessage()));
            httpRequest
                    .response()
                    .onSuccess(this::receive)
                    .onFailure(e -> failed(true, "no answer: " + e.getMessage()));
            if (mRequest.body().length == 0) {
                httpRequest.end();
            } else {
                httpRequest.end(Buffer.buffer(mRequest.body()));
            }
        }

        private void receive(HttpClientResponse response) {
            if (mDone) {
                return;
            }
            mResponse = response;
            readFraming(response);
            response.exceptionHandler(e -> failed(true, "answer broke off: " + e.getMessage()));
            response.handler(this::bytes);
            response.endHandler(ignored -> end());
            mListener.head(response.statusCode(), HeaderRules.responseHeaders(response.headers()));
            if (mPaused) {
                response.pause();
            }
        }

        /** Determines how the end of the answer's body is marked. */
        private void readFraming(HttpClientResponse response) {
            int status = response.statusCode();
            MultiMap headers = response.headers();
            String length = headers.get("content-length");
            String coding = headers.get("transfer-encoding");
            boolean withoutBody =
                    mRequest.method().equals("HEAD") || status == 204 || status == 304;
            mBodyDelimited =
                    withoutBody
                            || (length != null && length.matches("[0-9]{1,18}"))
                            || (coding != null
                                    && coding.toLowerCase(Locale.ROOT).contains("chunked"));
            if (length != null && mBodyDelimited && !withoutBody) {
                mExpectedBytes = Long.parseLong(length);
            }
        }

        private void bytes(Buffer buffer) {
            if (!mDone && buffer.length() > 0) {
                mReceivedBytes += buffer.length();
                mListener.bytes(buffer.getBytes());
            }
        }

        private void end() {
            if (mDone) {
                return;
            }
            if (!mBodyDelimited) {
                failed(true, "answer has neither a length nor chunks");
            } else if (mExpectedBytes >= 0 && mExpectedBytes != mReceivedBytes) {
                failed(true, "answer has " + mReceivedBytes + " of " + mExpectedBytes + " bytes");
            } else {
                mDone = true;
                mListener.end();
            }
        }

        private void failed(boolean requestSent, String reason) {
            if (!mDone) {
                mDone = true;
                mListener.failed(requestSent, reason);
            }
        }
    }
}
