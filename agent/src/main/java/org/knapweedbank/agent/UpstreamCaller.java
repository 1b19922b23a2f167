package org.knapweedbank.agent;

import org.knapweedbank.wire.Request;

/** Forwards requests to upstreams. */
interface UpstreamCaller {
    /**
     * Forwards a request to HOST:PORT. Before this method returns, the listener may only receive a
     * failure.
     */
    UpstreamCall call(String address, Request request, UpstreamCallListener listener);
}
