package org.knapweedbank.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;

/**
 * Measured usage of an attempt or tail latency of a service on a VM.
 *
 * @param task the attempt's task
 * @param attempt attempt number
 * @param used measured usage
 * @param p99Micros p99 latency of the service in microseconds, or 0 for batch
 * @param ageMillis age of the sample when sent, in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record UsageSample(
        TaskId task, int attempt, Resources used, long p99Micros, long ageMillis) {}
