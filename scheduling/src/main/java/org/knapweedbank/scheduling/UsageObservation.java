package org.knapweedbank.scheduling;

import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;

/**
 * Measured usage or latency of a task.
 *
 * @param task the task
 * @param vm VM that holds it
 * @param used measured usage
 * @param p99Micros p99 latency of a service in microseconds; 0 for batch
 * @param objectiveMicros objective for it in microseconds; 0 for batch
 * @param sampledNanos monotonic time of the sample, corrected for its age
 */
public record UsageObservation(
        TaskId task,
        VmId vm,
        Resources used,
        long p99Micros,
        long objectiveMicros,
        long sampledNanos) {}
