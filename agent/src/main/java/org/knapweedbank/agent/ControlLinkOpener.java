package org.knapweedbank.agent;

/** Opens control connections to entries. */
interface ControlLinkOpener {
    /** Opens a connection to HOST:PORT; the listener receives {@code opened} or {@code failed}. */
    void open(String address, ControlLinkListener listener);
}
