package org.knapweedbank.node.link;

import java.util.function.Consumer;
import java.util.function.Function;

/** Opens and accepts links. */
public interface LinkTransport {
    /**
     * Opens a link.
     *
     * @param address HOST:PORT of the other side
     * @param listenerFactory makes the listener of the opened link
     * @param onFailure receives the cause when the link can't be opened
     */
    void connect(
            String address,
            Function<Link, LinkListener> listenerFactory,
            Consumer<String> onFailure);

    /**
     * Accepts links.
     *
     * @param host address to bind
     * @param port port to bind
     * @param listenerFactory makes the listener of each accepted link
     */
    void listen(String host, int port, Function<Link, LinkListener> listenerFactory);
}
