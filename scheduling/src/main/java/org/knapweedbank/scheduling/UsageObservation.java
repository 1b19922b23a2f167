package org.knapweedbank.scheduling;

import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;

/**
 * Sample of the resource usage and latency of a task.
 *
 * @param task the sampled task
 * @param vm VM that runs the task
 * @param used measured resource usage
 * @param p99Micros 99th percentile of the service's latency in microseconds; 0 for batch tasks
 * @param objectiveMicros latency objective of the service in microseconds; 0 for batch tasks
 * @param sampledNanos monotonic time at which the sample was taken, in nanoseconds
 */
public record UsageObservation(
        TaskId task,
        VmId vm,
        Resources used,
        long p99Micros,
        long objectiveMicros,
        long sampledNanos) {}
