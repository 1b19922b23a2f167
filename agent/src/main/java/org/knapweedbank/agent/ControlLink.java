package org.knapweedbank.agent;

import org.knapweedbank.wire.Message;

/** Control connection to an entry. */
interface ControlLink {
    /** Sends a message; returns false if it was not sent. */
    boolean send(Message message);

    /** Ends the connection. */
    void close(String reason);
}
