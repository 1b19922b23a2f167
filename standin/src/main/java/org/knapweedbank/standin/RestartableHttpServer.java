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
 * HTTP server that can stop listening, which closes all connections, and later listen again on the
 * same port. A call off the event loops blocks until the change is complete; a call on an event
 * loop returns at once.
 */
final class RestartableHttpServer implements AutoCloseable {
    private static final long CHANGE_TIMEOUT_SECONDS = 10;

    private final Vertx mVertx;
    private final Context mContext;
    private final String mHost;
    private final Handler<HttpServerRequest> mHandler;
    private int mPort;
    private HttpServer mServer;
    private Future<Void> mLastChange = Future.succeededFuture();

    RestartableHttpServer(Vertx vertx, String host, int port, Handler<HttpServerRequest> handler) {
        mVertx = vertx;
        mContext = vertx.getOrCreateContext();
        mHost = host;
        mPort = port;
        mHandler = handler;
    }

    /** Returns the context of the event loop that serves the connections. */
    Context context() {
        return mContext;
    }

    /** Returns the TCP port, or 0 before the first start if any free port was requested. */
    synchronized int port() {
        return mPort;
    }

    /**
     * Starts or stops listening. Changes are carried out one after another.
     *
     * @param shouldListen true to listen, false to stop and close all connections
     */
    void setListening(boolean shouldListen) {
        Future<Void> change = scheduleChange(shouldListen);
        if (Vertx.currentContext() == null) {
            await(change);
        }
    }

    @Override
    public void close() {
        setListening(false);
    }

    private synchronized Future<Void> scheduleChange(boolean shouldListen) {
        mLastChange =
                mLastChange
                        .otherwiseEmpty()
                        .compose(
                                ignored ->
                                        Future.future(
                                                promise -> changeOnContext(shouldListen, promise)));
        return mLastChange;
    }

    private void changeOnContext(boolean shouldListen, Promise<Void> promise) {
        mContext.runOnContext(ignored -> (shouldListen ? listen() : stop()).onComplete(promise));
    }

    private Future<Void> listen() {
        if (mServer != null) {
            return Future.succeededFuture();
        }
        HttpServer server = mVertx.createHttpServer(new HttpServerOptions().setHost(mHost));
        return server.requestHandler(mHandler)
                .listen(port(), mHost)
                .onSuccess(
                        startedServer -> {
                            mServer = startedServer;
                            setPort(startedServer.actualPort());
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
            future.toCompletionStage()
                    .toCompletableFuture()
                    .get(CHANGE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the HTTP server failed to start or stop listening", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
