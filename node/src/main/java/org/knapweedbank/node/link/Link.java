package org.knapweedbank.node.link;

/** Open connection to another process. */
public interface Link {
    /**
     * Sends a message. A message to a closed link is dropped.
     *
     * @param message the message
     */
    void send(NodeMessage message);

    /**
     * Closes the link; its listener hears of it.
     *
     * @param reason cause for the log
     */
    void close(String reason);

    /**
     * Address of the other side, for the log.
     *
     * @return HOST:PORT
     */
    String remoteAddress();
}
