package org.knapweedbank.wire;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;

/** Opens frame connections and negotiates the protocol version. */
public final class FrameClient {
    private final Vertx mVertx;
    private final FrameTimeouts mTimeouts;
    private final FrameCodec mCodec = new FrameCodec();
    private final TrafficCounters mCounters;
    private final NetClient mClient;

    /**
     * Creates a client.
     *
     * @param vertx event loops
     * @param timeouts time limits
     * @param registry receives the traffic counters
     */
    public FrameClient(Vertx vertx, FrameTimeouts timeouts, MetricRegistry registry) {
        mVertx = vertx;
        mTimeouts = timeouts;
        mCounters = new TrafficCounters(registry);
        mClient =
                vertx.createNetClient(
                        new NetClientOptions()
                                .setTcpNoDelay(true)
                                .setTcpKeepAlive(true)
                                .setConnectTimeout((int) timeouts.connect().toMillis()));
    }

    /**
     * Opens a connection.
     *
     * @param host address of the peer
     * @param port port of the peer
     * @param hello introduces this daemon
     * @return the connection after the negotiation, delivered on its event loop; fails with a
     *     {@link FrameException} of kind {@code CONNECT} or {@code HANDSHAKE}
     */
    public Uni<FrameConnection> connect(String host, int port, Hello hello) {
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                open(host, port, hello)
                                        .onSuccess(emitter::complete)
                                        .onFailure(emitter::fail));
    }

    /**
     * Opens a connection.
     *
     * @param address HOST:PORT of the peer
     * @param hello introduces this daemon
     * @return as {@link #connect(String, int, Hello)}; also fails with kind {@code CONNECT} when
     *     the address is malformed
     */
    public Uni<FrameConnection> connect(String address, Hello hello) {
        int colon = address.lastIndexOf(':');
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            return connect(address.substring(0, Math.max(0, colon)), port, hello);
        } catch (NumberFormatException e) {
            return Uni.createFrom()
                    .failure(
                            new FrameException(
                                    FrameException.Kind.CONNECT,
                                    "address is not HOST:PORT: " + address));
        }
    }

    /** Closes all connections of this client. */
    public void close() {
        mClient.close();
    }

    private Future<FrameConnection> open(String host, int port, Hello hello) {
        return mClient.connect(port, host)
                .recover(
                        e ->
                                Future.failedFuture(
                                        new FrameException(
                                                FrameException.Kind.CONNECT,
                                                "cannot connect to " + host + ":" + port,
                                                e)))
                .compose(socket -> negotiate(socket, hello));
    }

    private Future<FrameConnection> negotiate(NetSocket socket, Hello hello) {
        Promise<FrameConnection> promise = Promise.promise();
        FrameConnection connection = new FrameConnection(socket, mCodec, mCounters);
        long timer =
                mVertx.setTimer(
                        mTimeouts.handshake().toMillis(),
                        ignored -> fail(promise, connection, "no Welcome in time"));
        connection.handshakeHandlers(
                message -> {
                    mVertx.cancelTimer(timer);
                    onReply(promise, connection, hello, message);
                },
                () -> {
                    mVertx.cancelTimer(timer);
                    fail(promise, connection, "peer closed the connection");
                });
        connection.send(hello);
        return promise.future();
    }

    private static void onReply(
            Promise<FrameConnection> promise,
            FrameConnection connection,
            Hello hello,
            Message message) {
        switch (message) {
            case Welcome welcome -> {
                int version = welcome.version();
                if (version < hello.minVersion() || version > hello.maxVersion()) {
                    fail(promise, connection, "peer chose protocol version " + version);
                } else {
                    connection.negotiated(null, welcome, version);
                    promise.tryComplete(connection);
                }
            }
            case Goodbye goodbye -> fail(promise, connection, "peer refused: " + goodbye.reason());
            default -> fail(promise, connection, "first message is not Welcome");
        }
    }

    private static void fail(
            Promise<FrameConnection> promise, FrameConnection connection, String reason) {
        promise.tryFail(
                new FrameException(
                        FrameException.Kind.HANDSHAKE, connection.remote() + ": " + reason));
        connection.close();
    }
}
