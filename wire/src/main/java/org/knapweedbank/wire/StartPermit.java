package org.knapweedbank.wire;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Permission to start an attempt for a short time. The agent adds the time since it sent the
 * heartbeat to the age of the owner's view; the start is allowed while the sum is within the limit.
 *
 * @param heartbeatSeq last heartbeat that the owner had received when it issued the permit
 * @param viewAgeMillis age of the owner's confirmed view of the data centres at that moment, in
 *     milliseconds
 * @param generation configuration generation of that view
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StartPermit(long heartbeatSeq, long viewAgeMillis, long generation) {}
