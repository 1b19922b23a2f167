package org.knapweedbank.tools;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletionException;

/** Operator listener on loopback that gives prepared answers in order. */
final class FakeServer implements AutoCloseable {
    /** Status of an answer that is never sent: the connection is closed instead. */
    static final int DROP = 0;

    private record Prepared(int status, String body) {}

    private final Vertx mVertx = Vertx.vertx();
    private final Deque<Prepared> mPrepared = new ArrayDeque<>();
    private final List<String> mRequests = new ArrayList<>();
    private final List<String> mKeys = new ArrayList<>();
    private final int mPort;

    FakeServer() {
        try {
            HttpServer server =
                    mVertx.createHttpServer()
                            .requestHandler(this::answer)
                            .listen(0, "127.0.0.1")
                            .toCompletionStage()
                            .toCompletableFuture()
                            .join();
            mPort = server.actualPort();
        } catch (CompletionException e) {
            throw new IllegalStateException(e);
        }
    }

    synchronized FakeServer prepare(int status, String body) {
        mPrepared.add(new Prepared(status, body));
        return this;
    }

    synchronized List<String> requests() {
        return List.copyOf(mRequests);
    }

    synchronized List<String> keys() {
        return List.copyOf(mKeys);
    }

    String address() {
        return "127.0.0.1:" + mPort;
    }

    private void answer(HttpServerRequest request) {
        request.body()
                .onSuccess(
                        body -> {
                            Prepared prepared;
                            synchronized (this) {
                                mRequests.add(request.method() + " " + request.uri());
                                mKeys.add(request.getHeader("Authorization"));
                                prepared = mPrepared.poll();
                            }
                            if (prepared == null || prepared.status() == DROP) {
                                request.connection().close();
                            } else {
                                request.response()
                                        .setStatusCode(prepared.status())
                                        .end(prepared.body());
                            }
                        });
    }

    @Override
    public void close() {
        mVertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
