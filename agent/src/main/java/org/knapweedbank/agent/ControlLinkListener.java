package org.knapweedbank.agent;

import org.knapweedbank.wire.Message;

/**
 * Receives the events of one control connection, from the attempt to open it, on the control
 * thread.
 */
interface ControlLinkListener {
    void opened(ControlLink link);

    void failed(String reason);

    void message(Message message);

    void closed();
}
