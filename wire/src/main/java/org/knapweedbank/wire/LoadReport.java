package org.knapweedbank.wire;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Load of an upstream, sent with each response.
 *
 * @param running number of requests that the upstream is running
 * @param queued number of requests queued in the agent
 * @param slots number of requests that the upstream can run concurrently
 * @param serviceMicros moving average of the service time in microseconds
 * @param leaving true if the upstream accepts no new requests
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LoadReport(int running, int queued, int slots, long serviceMicros, boolean leaving) {}
