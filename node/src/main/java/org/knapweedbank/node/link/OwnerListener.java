package org.knapweedbank.node.link;

/** Receives what happens on the link to the owner. */
public interface OwnerListener {
    /**
     * Tells whether an owner of a term may be obeyed.
     *
     * @param term the term
     * @return false if a later owner is known
     */
    boolean isAcceptable(long term);

    /**
     * The link is open.
     *
     * @param owner the link
     * @param term term of the owner
     */
    void connected(Link owner, long term);

    /**
     * A message has come.
     *
     * @param message the message
     */
    void received(NodeMessage message);

    /** The link is closed. */
    void disconnected();
}
