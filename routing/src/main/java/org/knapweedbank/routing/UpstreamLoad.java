package org.knapweedbank.routing;

/**
 * Load of an upstream, reported by its agent with each answer.
 *
 * @param running number of requests that occupy a slot
 * @param queued number of requests waiting at the agent
 * @param slots maximum number of concurrent requests of the upstream, at least 1
 * @param serviceMicros moving average of the service time in microseconds, or 0 if unknown
 * @param leaving true if the upstream accepts no new requests
 */
public record UpstreamLoad(
        int running, int queued, int slots, long serviceMicros, boolean leaving) {}
