package org.knapweedbank.agent;

import org.knapweedbank.wire.Message;

/** Connection of an entry, as far as answers need it. */
interface AnswerSink {
    /** Sends a message; returns false if it was not sent. */
    boolean send(Message message);

    /** False while large amounts should be held back. */
    boolean writable();
}
