package org.knapweedbank.routing;

/**
 * Load of an upstream as reported with an answer.
 *
 * @param running requests in slots
 * @param queued requests waiting in the agent
 * @param slots slots of the upstream, at least 1
 * @param serviceMicros moving average of the service time in microseconds, or 0 if not known
 * @param leaving true if the upstream takes no new work
 */
public record UpstreamLoad(
        int running, int queued, int slots, long serviceMicros, boolean leaving) {}
