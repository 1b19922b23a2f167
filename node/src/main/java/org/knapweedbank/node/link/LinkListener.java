package org.knapweedbank.node.link;

/** Receives what happens on a link. */
public interface LinkListener {
    /**
     * A message has come.
     *
     * @param message the message
     */
    void received(NodeMessage message);

    /**
     * The link is closed; nothing more comes.
     *
     * @param reason cause for the log
     */
    void closed(String reason);
}
