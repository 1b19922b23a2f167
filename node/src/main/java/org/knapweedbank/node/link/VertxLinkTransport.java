package org.knapweedbank.node.link;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.node.Address;

/** Transport that opens and accepts links over TCP. */
public final class VertxLinkTransport implements LinkTransport {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final Vertx mVertx;
    private final DecisionLog mLog;
    private final NetClient mClient;

    /**
     * Creates the transport. All callbacks run on the event loop of the caller.
     *
     * @param vertx Vert.x instance of the process
     * @param log receives listening addresses, failures and malformed messages
     */
    public VertxLinkTransport(Vertx vertx, DecisionLog log) {
        mVertx = vertx;
        mLog = log;
        mClient =
                vertx.createNetClient(
                        new NetClientOptions()
                                .setTcpNoDelay(true)
                                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
    }

    @Override
    public void connect(
            String address,
            Function<Link, LinkListener> listenerFactory,
            Consumer<String> onFailure) {
        Optional<Address> peer = Address.parse(address);
        if (peer.isEmpty()) {
            onFailure.accept("address is not HOST:PORT: " + address);
            return;
        }
        mClient.connect(peer.get().port(), peer.get().host())
                .onSuccess(socket -> open(socket, listenerFactory))
                .onFailure(e -> onFailure.accept(String.valueOf(e.getMessage())));
    }

    @Override
    public void listen(String host, int port, Function<Link, LinkListener> listenerFactory) {
        mVertx.createNetServer(new NetServerOptions().setTcpNoDelay(true).setReuseAddress(true))
                .connectHandler(socket -> open(socket, listenerFactory))
                .listen(port, host)
                .onSuccess(server -> mLog.record("link.listening", host + ":" + port))
                .onFailure(
                        e ->
                                mLog.record(
                                        "link.listen_failed",
                                        host + ":" + port,
                                        "cause",
                                        e.getMessage()));
    }

    private void open(NetSocket socket, Function<Link, LinkListener> listenerFactory) {
        SocketLink link = new SocketLink(mVertx, socket, mLog);
        link.open(listenerFactory.apply(link));
    }
}
