package org.knapweedbank.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;

/**
 * Measured resource usage of an attempt on a VM and, for a service, its tail latency.
 *
 * @param task the task
 * @param attempt number of the attempt at the task
 * @param used measured resource usage
 * @param p99Micros 99th percentile of the latency of the service in microseconds; 0 for batch tasks
 * @param ageMillis age of the sample when it was sent, in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record UsageSample(
        TaskId task, int attempt, Resources used, long p99Micros, long ageMillis) {}
