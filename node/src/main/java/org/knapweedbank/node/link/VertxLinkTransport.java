package org.knapweedbank.node.link;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.node.Address;

/** Transport that opens and accepts links over TCP. */
public final class VertxLinkTransport implements LinkTransport {
    private static final long LISTEN_RETRY_MILLIS = 500;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /**
     * Interval at which all links are checked for received data and due keep-alives. They share one
     * timer, since the owner has a link to each agent and a wake-up for each would add up.
     */
    private static final long CHECK_INTERVAL_MILLIS = 300;

    private final Vertx mVertx;
    private final DecisionLog mLog;
    private final NetClient mClient;
    private final Set<SocketLink> mOpenLinks = new HashSet<>();
    private boolean mChecksStarted;

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
    public void listen(
            String host,
            int port,
            Function<Link, LinkListener> listenerFactory,
            Runnable onListening) {
        mVertx.createNetServer(new NetServerOptions().setTcpNoDelay(true).setReuseAddress(true))
                .connectHandler(socket -> open(socket, listenerFactory))
                .listen(port, host)
                .onSuccess(
                        server -> {
                            mLog.record("link.listening", host + ":" + port);
                            onListening.run();
                        })
                .onFailure(
                        e -> {
                            mLog.record(
                                    "link.listen_failed",
                                    host + ":" + port,
                                    "cause",
                                    e.getMessage());
                            mVertx.setTimer(
                                    LISTEN_RETRY_MILLIS,
                                    ignored -> listen(host, port, listenerFactory, onListening));
                        });
    }

    private void open(NetSocket socket, Function<Link, LinkListener> listenerFactory) {
        SocketLink link = new SocketLink(mVertx, socket, mLog);
        link.open(listenerFactory.apply(link));
        mOpenLinks.add(link);
        if (!mChecksStarted) {
            mChecksStarted = true;
            mVertx.setPeriodic(CHECK_INTERVAL_MILLIS, ignored -> checkLinks());
        }
    }

    private void checkLinks() {
        List.copyOf(mOpenLinks).forEach(SocketLink::checkLiveness);
        mOpenLinks.removeIf(SocketLink::isClosed);
    }
}
