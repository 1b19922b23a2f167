package org.knapweedbank.agent;

/** Opens control connections. */
interface ControlLinkOpener {
    /** Opens a connection to HOST:PORT; the listener hears {@code opened} or {@code failed}. */
    void open(String address, ControlLinkListener listener);
}
