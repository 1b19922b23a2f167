package org.knapweedbank.entry.upstream;

import org.knapweedbank.routing.PlanEvent;
import org.knapweedbank.wire.ResponseHead;

/** Receives what happens to one attempt at an agent. Calls come on the routing event loop. */
public interface AttemptListener {
    /**
     * Status and headers have arrived.
     *
     * @param head the message
     */
    void head(ResponseHead head);

    /**
     * Anything else has happened.
     *
     * @param event the event, with the number of the attempt
     */
    void event(PlanEvent event);
}
