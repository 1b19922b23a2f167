package org.knapweedbank.standin;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * HTTP server that can stop to listen, closing all connections, and listen again on the same port.
 * Off the event loops, changes return when they are done.
 */
final class SwitchedHttpServer implements AutoCloseable {
    private static final long LIMIT_SECONDS = 10;

    private final Vertx mVertx;
    private final Context mContext;
    private final String mHost;
    private final Handler<HttpServerRequest> mHandler;
    private int mPort;
    private HttpServer mServer;
    private Future<Void> mLastChange = Future.succeededFuture();

    SwitchedHttpServer(Vertx vertx, String host, int port, Handler<HttpServerRequest> handler) {
        mVertx = vertx;
        mContext = vertx.getOrCreateContext();
        mHost = host;
        mPort = port;
        mHandler = handler;
    }

    /** The event loop that serves the connections. */
    Context context() {
        return mContext;
    }

    synchronized int port() {
        return mPort;
    }

    void listening(boolean listen) {
        Future<Void> change = change(listen);
        if (Vertx.currentContext() == null) {
            await(change);
        }
    }

    @Override
    public void close() {
        listening(false);
    }

    private synchronized Future<Void> change(boolean listen) {
        mLastChange =
                mLastChange
                        .otherwiseEmpty()
                        .compose(ignored -> Future.future(p -> changeOnContext(listen, p)));
        return mLastChange;
    }

    private void changeOnContext(boolean listen, Promise<Void> promise) {
        mContext.runOnContext(ignored -> (listen ? listen() : stop()).onComplete(promise));
    }

    private Future<Void> listen() {
        if (mServer != null) {
            return Future.succeededFuture();
        }
        HttpServer server = mVertx.createHttpServer(new HttpServerOptions().setHost(mHost));
        return server.requestHandler(mHandler)
                .listen(port(), mHost)
                .onSuccess(
                        listening -> {
                            mServer = listening;
                            setPort(listening.actualPort());
                        })
                .mapEmpty();
    }

    private Future<Void> stop() {
        if (mServer == null) {
            return Future.succeededFuture();
        }
        HttpServer server = mServer;
        mServer = null;
        return server.close();
    }

    private synchronized void setPort(int port) {
        mPort = port;
    }

    private static void await(Future<Void> future) {
        try {
            future.toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the server cannot listen or stop", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
