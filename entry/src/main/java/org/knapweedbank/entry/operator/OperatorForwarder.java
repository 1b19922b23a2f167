package org.knapweedbank.entry.operator;

import io.smallrye.mutiny.Uni;
import java.util.List;
import org.knapweedbank.wire.OperatorCall;
import org.knapweedbank.wire.OperatorReply;

/** Forwards operator requests to other entries. */
public interface OperatorForwarder {
    /**
     * Forwards a request.
     *
     * @param entryId identifier of the entry that can answer
     * @param call the request; its id is replaced by the forwarder
     * @return the answer; without a body, status 503 when the request could not be sent and 504
     *     when no answer came and the outcome is not known
     */
    Uni<OperatorReply> forward(String entryId, OperatorCall call);

    /**
     * The other entries known.
     *
     * @return their identifiers
     */
    List<String> peers();
}
