package org.knapweedbank.wire;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Load of an upstream, sent with each answer.
 *
 * @param running requests in slots
 * @param queued requests waiting in the agent
 * @param slots slots of the upstream
 * @param serviceMicros moving average of the service time in microseconds
 * @param leaving true if the upstream takes no new work
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LoadReport(int running, int queued, int slots, long serviceMicros, boolean leaving) {}
