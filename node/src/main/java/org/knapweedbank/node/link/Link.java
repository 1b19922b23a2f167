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
