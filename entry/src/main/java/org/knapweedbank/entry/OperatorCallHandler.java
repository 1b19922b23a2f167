package org.knapweedbank.entry;

import io.smallrye.mutiny.Uni;
import org.knapweedbank.wire.OperatorCall;
import org.knapweedbank.wire.OperatorReply;

/** Handles operator requests forwarded by other entries. */
@FunctionalInterface
public interface OperatorCallHandler {
    /**
     * Handles a forwarded request.
     *
     * @param call the request
     * @return the reply; the listener overwrites its id with the id of the call
     */
    Uni<OperatorReply> handle(OperatorCall call);
}
