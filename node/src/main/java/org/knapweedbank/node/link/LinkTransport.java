package org.knapweedbank.node.link;

import java.util.function.Consumer;
import java.util.function.Function;

/** Opens and accepts links to other processes. */
public interface LinkTransport {
    /**
     * Opens a link.
     *
     * @param address HOST:PORT of the peer
     * @param listenerFactory creates the listener of the opened link
     * @param onFailure receives the cause if the link can't be opened
     */
    void connect(
            String address,
            Function<Link, LinkListener> listenerFactory,
            Consumer<String> onFailure);

    /**
     * Listens for links, with retries until the address can be bound.
     *
     * @param host address to bind
     * @param port port to bind
     * @param listenerFactory creates the listener of each accepted link
     * @param onListening runs once the address is bound, which no other process can be then
     */
    void listen(
            String host,
            int port,
            Function<Link, LinkListener> listenerFactory,
            Runnable onListening);
}
