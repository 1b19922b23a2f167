package org.knapweedbank.node.link;

/** Open message connection to another process. */
public interface Link {
    /**
     * Sends a message. A message to a closed link is dropped.
     *
     * @param message the message
     */
    void send(NodeMessage message);

    /**
     * Sends a message that is not urgent. It may wait for the next message of the link, which saves
     * both processes a wake-up, but not longer than for the next keep-alive.
     *
     * @param message the message
     */
    default void sendLater(NodeMessage message) {
        send(message);
    }

    /**
     * Closes the link and notifies its listener.
     *
     * @param reason cause for the log
     */
    void close(String reason);

    /**
     * Returns the address of the peer, for the log.
     *
     * @return HOST:PORT
     */
    String remoteAddress();
}
