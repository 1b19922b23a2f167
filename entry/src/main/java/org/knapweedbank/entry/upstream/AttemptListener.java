package org.knapweedbank.entry.upstream;

import org.knapweedbank.routing.PlanEvent;
import org.knapweedbank.wire.ResponseHead;

/** Receives the response frames and failures of one attempt. Called on the routing event loop. */
public interface AttemptListener {
    /**
     * Called when the status and headers of the response have arrived.
     *
     * @param head the frame with status and headers
     */
    void onHead(ResponseHead head);

    /**
     * Called for every other frame of the attempt and for its failure.
     *
     * @param event the event, with the number of the attempt
     */
    void onEvent(PlanEvent event);
}
