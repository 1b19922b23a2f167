package org.knapweedbank.agent;

import java.util.List;
import org.knapweedbank.wire.HeaderField;

/** Receives the answer of an upstream. The last event is {@code end} or {@code failed}. */
interface UpstreamCallListener {
    void head(int status, List<HeaderField> headers);

    void bytes(byte[] bytes);

    /** The answer is proven to be complete. */
    void end();

    /** The answer is missing or incomplete; {@code passedOn} is false if no byte was sent. */
    void failed(boolean passedOn, String reason);
}
