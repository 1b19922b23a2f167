package org.knapweedbank.node.link;

/** Receives the messages and state changes of the link to the owner. */
public interface OwnerListener {
    /**
     * Returns whether the owner of a term may be connected to.
     *
     * @param term the term
     * @return false if it must not be, for example because a later owner is known
     */
    boolean isAcceptable(long term);

    /**
     * Handles a new link to the owner.
     *
     * @param owner the link
     * @param term term of the owner
     */
    void connected(Link owner, long term);

    /**
     * Handles a message of the owner.
     *
     * @param message the message
     */
    void received(NodeMessage message);

    /** Handles the loss of the link to the owner. */
    void disconnected();
}
