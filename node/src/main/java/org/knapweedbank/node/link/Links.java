package org.knapweedbank.node.link;

import java.util.function.Consumer;
import java.util.function.Function;

/** Opens and accepts links. */
public interface Links {
    /**
     * Opens a link.
     *
     * @param address HOST:PORT of the other side
     * @param listener makes the listener of the opened link
     * @param failed receives the cause when the link can't be opened
     */
    void connect(String address, Function<Link, LinkListener> listener, Consumer<String> failed);

    /**
     * Accepts links.
     *
     * @param host address to bind
     * @param port port to bind
     * @param listener makes the listener of each accepted link
     */
    void listen(String host, int port, Function<Link, LinkListener> listener);
}
