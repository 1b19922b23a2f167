package org.knapweedbank.node.link;

/** Receives the messages and the end of a link. */
public interface LinkListener {
    /**
     * Handles a message of the peer.
     *
     * @param message the message
     */
    void received(NodeMessage message);

    /**
     * Handles the end of the link, after which no message follows.
     *
     * @param reason cause for the log
     */
    void closed(String reason);
}
