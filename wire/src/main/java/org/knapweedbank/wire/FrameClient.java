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
     * Creates a client without connections.
     *
     * @param vertx provides the event loops
     * @param timeouts timeouts of the connections
     * @param registry registry in which the traffic counters are kept
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
     * Opens a connection and negotiates the protocol version.
     *
     * @param host host name or IP address of the peer
     * @param port port of the peer
     * @param hello first message to the peer, which identifies this daemon
     * @return the connection after the handshake, delivered on its event loop; fails with a {@link
     *     FrameException} of kind {@code CONNECT} or {@code HANDSHAKE}
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
     * Opens a connection and negotiates the protocol version.
     *
     * @param address HOST:PORT of the peer
     * @param hello first message to the peer, which identifies this daemon
     * @return as for {@link #connect(String, int, Hello)}; also fails with kind {@code CONNECT} if
     *     the address is malformed
     */
    public Uni<FrameConnection> connect(String address, Hello hello) {
        int separator = address.lastIndexOf(':');
        try {
            int port = Integer.parseInt(address.substring(separator + 1));
            return connect(address.substring(0, Math.max(0, separator)), port, hello);
        } catch (NumberFormatException e) {
            return Uni.createFrom()
                    .failure(
                            new FrameException(
                                    FrameException.Kind.CONNECT,
                                    "address is not of the form HOST:PORT: " + address));
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
                                                "could not connect to " + host + ":" + port,
                                                e)))
                .compose(socket -> negotiate(socket, hello));
    }

    private Future<FrameConnection> negotiate(NetSocket socket, Hello hello) {
        Promise<FrameConnection> promise = Promise.promise();
        FrameConnection connection = new FrameConnection(socket, mCodec, mCounters);
        long timer =
                mVertx.setTimer(
                        mTimeouts.handshake().toMillis(),
                        ignored ->
                                fail(
                                        promise,
                                        connection,
                                        "no Welcome message within the handshake timeout"));
        connection.setHandshakeHandlers(
                message -> {
                    mVertx.cancelTimer(timer);
                    handleFirstMessage(promise, connection, hello, message);
                },
                () -> {
                    mVertx.cancelTimer(timer);
                    fail(promise, connection, "peer closed the connection during the handshake");
                });
        connection.send(hello);
        return promise.future();
    }

    private static void handleFirstMessage(
            Promise<FrameConnection> promise,
            FrameConnection connection,
            Hello hello,
            Message message) {
        switch (message) {
            case Welcome welcome -> {
                int version = welcome.version();
                if (version < hello.minVersion() || version > hello.maxVersion()) {
                    fail(promise, connection, "peer chose unsupported protocol version " + version);
                } else {
                    connection.completeHandshake(null, welcome, version);
                    promise.tryComplete(connection);
                }
            }
            case Goodbye goodbye ->
                    fail(promise, connection, "peer refused the connection: " + goodbye.reason());
            default -> fail(promise, connection, "first message of the peer is not Welcome");
        }
    }

    private static void fail(
            Promise<FrameConnection> promise, FrameConnection connection, String reason) {
        promise.tryFail(
                new FrameException(
                        FrameException.Kind.HANDSHAKE, connection.remoteAddress() + ": " + reason));
        connection.close();
    }
}
