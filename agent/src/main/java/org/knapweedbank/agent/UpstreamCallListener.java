package org.knapweedbank.agent;

import java.util.List;
import org.knapweedbank.wire.HeaderField;

/** Receives the answer of an upstream. The last event is either {@code end} or {@code failed}. */
interface UpstreamCallListener {
    void head(int status, List<HeaderField> headers);

    void bytes(byte[] bytes);

    /** The answer is complete, as its length or its chunked coding proves. */
    void end();

    /**
     * The request failed: the answer is missing or incomplete.
     *
     * @param requestSent false if no byte of the request was sent, so that the upstream cannot have
     *     run it
     */
    void failed(boolean requestSent, String reason);
}
