package org.knapweedbank.agent;

import org.knapweedbank.wire.Message;

/** Control connection from the agent to an entry. */
interface ControlLink {
    /** Sends a message; returns false if it was not sent. */
    boolean send(Message message);

    /** Closes the connection, giving a short reason. */
    void close(String reason);
}
