package org.knapweedbank.agent;

import org.knapweedbank.wire.Message;

/** Receives the events of one attempt to open a control connection, on the duty thread. */
interface ControlLinkListener {
    void opened(ControlLink link);

    void failed(String reason);

    void message(Message message);

    void closed();
}
