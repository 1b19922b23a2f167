package org.knapweedbank.wire;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.model.DaemonId;

/** Accepts frame connections and negotiates the protocol version. */
public final class FrameServer {
    private static final Logger LOG = LogManager.getLogger(FrameServer.class);

    private final Vertx mVertx;
    private final DaemonId mDaemon;
    private final long mIncarnation;
    private final FrameTimeouts mTimeouts;
    private final FrameCodec mCodec = new FrameCodec();
    private final TrafficCounters mCounters;
    private final NetServer mServer;

    /**
     * Creates a server that does not listen yet; {@link #listen} starts it.
     *
     * @param vertx provides the event loops
     * @param daemon identifier of this daemon, sent in {@link Welcome}
     * @param incarnation incarnation of this daemon, which grows with each restart
     * @param timeouts timeouts of the connections
     * @param registry registry in which the traffic counters are kept
     */
    public FrameServer(
            Vertx vertx,
            DaemonId daemon,
            long incarnation,
            FrameTimeouts timeouts,
            MetricRegistry registry) {
        mVertx = vertx;
        mDaemon = daemon;
        mIncarnation = incarnation;
        mTimeouts = timeouts;
        mCounters = new TrafficCounters(registry);
        mServer =
                vertx.createNetServer(
                        new NetServerOptions().setTcpNoDelay(true).setTcpKeepAlive(true));
    }

    /**
     * Starts to accept connections.
     *
     * @param host address to bind to
     * @param port port, or 0 for any free port
     * @param handler receives each connection after the handshake, on the event loop of the
     *     connection, and has to set the handlers of the connection
     * @return the port in use; fails with a {@link FrameException} of kind {@code CONNECT}
     */
    public Uni<Integer> listen(String host, int port, Consumer<FrameConnection> handler) {
        mServer.connectHandler(socket -> accept(socket, handler));
        return Uni.createFrom()
                .completionStage(() -> mServer.listen(port, host).toCompletionStage())
                .map(NetServer::actualPort)
                .onFailure()
                .transform(
                        e ->
                                new FrameException(
                                        FrameException.Kind.CONNECT,
                                        "could not listen on " + host + ":" + port,
                                        e));
    }

    /**
     * Stops listening and closes all connections.
     *
     * @return completes when all connections have been closed
     */
    public Uni<Void> close() {
        return Uni.createFrom().completionStage(() -> mServer.close().toCompletionStage());
    }

    private void accept(NetSocket socket, Consumer<FrameConnection> handler) {
        FrameConnection connection = new FrameConnection(socket, mCodec, mCounters);
        long timer =
                mVertx.setTimer(
                        mTimeouts.handshake().toMillis(),
                        ignored -> refuse(connection, "no Hello in time"));
        connection.setHandshakeHandlers(
                message -> {
                    mVertx.cancelTimer(timer);
                    negotiate(connection, message, handler);
                },
                () -> mVertx.cancelTimer(timer));
    }

    private void negotiate(
            FrameConnection connection, Message message, Consumer<FrameConnection> handler) {
        if (!(message instanceof Hello hello)) {
            refuse(connection, "first message is not Hello");
            return;
        }
        int version = Math.min(hello.maxVersion(), FrameCodec.MAX_VERSION);
        if (version < Math.max(hello.minVersion(), FrameCodec.MIN_VERSION)) {
            refuse(
                    connection,
                    "no common protocol version: peer speaks "
                            + hello.minVersion()
                            + " to "
                            + hello.maxVersion()
                            + ", this daemon "
                            + FrameCodec.MIN_VERSION
                            + " to "
                            + FrameCodec.MAX_VERSION);
            return;
        }
        connection.send(new Welcome(mDaemon, mIncarnation, version));
        connection.completeHandshake(hello, null, version);
        handler.accept(connection);
    }

    private static void refuse(FrameConnection connection, String reason) {
        LOG.warn("[wire] refused the connection of {}: {}", connection.remoteAddress(), reason);
        connection.setHandshakeHandlers(message -> {}, () -> {});
        connection.close(reason);
    }
}
