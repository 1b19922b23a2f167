package org.knapweedbank.tools;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletionException;

/** Operator listener on the loopback interface that sends prepared responses in order. */
final class FakeServer implements AutoCloseable {
    /** Status that makes the server close the connection instead of sending a response. */
    static final int DROP_CONNECTION = 0;

    private record PreparedResponse(int status, String body) {}

    private final Vertx mVertx = Vertx.vertx();
    private final Deque<PreparedResponse> mPreparedResponses = new ArrayDeque<>();
    private final List<String> mRequests = new ArrayList<>();
    private final List<String> mAuthorizationHeaders = new ArrayList<>();
    private final int mPort;

    FakeServer() {
        try {
            HttpServer server =
                    mVertx.createHttpServer()
                            .requestHandler(this::handleRequest)
                            .listen(0, "127.0.0.1")
                            .toCompletionStage()
                            .toCompletableFuture()
                            .join();
            mPort = server.actualPort();
        } catch (CompletionException e) {
            throw new IllegalStateException(e);
        }
    }

    synchronized FakeServer prepareResponse(int status, String body) {
        mPreparedResponses.add(new PreparedResponse(status, body));
        return this;
    }

    synchronized List<String> requests() {
        return List.copyOf(mRequests);
    }

    synchronized List<String> authorizationHeaders() {
        return List.copyOf(mAuthorizationHeaders);
    }

    String address() {
        return "127.0.0.1:" + mPort;
    }

    private void handleRequest(HttpServerRequest request) {
        request.body()
                .onSuccess(
                        body -> {
                            PreparedResponse preparedResponse;
                            synchronized (this) {
                                mRequests.add(request.method() + " " + request.uri());
                                mAuthorizationHeaders.add(request.getHeader("Authorization"));
                                preparedResponse = mPreparedResponses.poll();
                            }
                            if (preparedResponse == null
                                    || preparedResponse.status() == DROP_CONNECTION) {
                                request.connection().close();
                            } else {
                                request.response()
                                        .setStatusCode(preparedResponse.status())
                                        .end(preparedResponse.body());
                            }
                        });
    }

    @Override
    public void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
