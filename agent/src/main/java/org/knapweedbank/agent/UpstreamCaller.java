package org.knapweedbank.agent;

import org.knapweedbank.wire.Request;

/** Passes requests on to upstreams. */
interface UpstreamCaller {
    /**
     * Sends a request to HOST:PORT; of the events, only a failure may arrive before this returns.
     */
    UpstreamCall call(String address, Request request, UpstreamCallListener listener);
}
