package org.knapweedbank.entry;

import io.smallrye.mutiny.Uni;
import org.knapweedbank.wire.OperatorCall;
import org.knapweedbank.wire.OperatorReply;

/** Answers operator requests that another entry has forwarded. */
@FunctionalInterface
public interface OperatorCallHandler {
    /**
     * Answers a request.
     *
     * @param call the request
     * @return the answer; its id is replaced
     */
    Uni<OperatorReply> handle(OperatorCall call);
}
