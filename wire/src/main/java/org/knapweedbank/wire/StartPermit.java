package org.knapweedbank.wire;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Short-lived permission to start an attempt, which prevents starts based on an outdated view of
 * the data centres. The agent computes an upper bound of the view's age as the age given here plus
 * the time since the agent sent the heartbeat. The start is allowed while the bound is within the
 * limit.
 *
 * @param heartbeatSeq sequence number of the last heartbeat that the owner had received when it
 *     issued the permit
 * @param viewAgeMillis age of the owner's confirmed view of the data centres when it issued the
 *     permit, in milliseconds
 * @param generation configuration generation of that view
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StartPermit(long heartbeatSeq, long viewAgeMillis, long generation) {}
