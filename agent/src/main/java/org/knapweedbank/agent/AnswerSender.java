package org.knapweedbank.agent;

import org.knapweedbank.wire.Message;

/** Connection to an entry over which answers are sent. */
interface AnswerSender {
    /** Sends a message; returns false if it was not sent. */
    boolean send(Message message);

    /** Returns false while the send buffer is full, so that senders should pause. */
    boolean writable();
}
