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
     * @param entryId identifier of the entry that receives the request
     * @param call the request; its id is replaced by the forwarder
     * @return the reply; it has no body and status 503 if the request could not be sent, or 504 if
     *     no reply arrived in time and the outcome is unknown
     */
    Uni<OperatorReply> forward(String entryId, OperatorCall call);

    /**
     * Returns the identifiers of the other entries.
     *
     * @return the identifiers, sorted
     */
    List<String> peers();
}
