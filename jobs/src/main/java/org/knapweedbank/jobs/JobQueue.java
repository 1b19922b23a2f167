package org.knapweedbank.jobs;

import java.time.Duration;

/**
 * Configuration of a queue that jobs are submitted to.
 *
 * @param key identity of the queue, stable across configuration versions
 * @param service pool of VMs that runs the tasks
 * @param priority priority of the queue; 0 is the highest
 * @param maxAttempts number of failed runs of a task after which its job fails
 * @param stretch factor of a job's critical path in its objective
 * @param latencyTarget time added to the stretched critical path to give the objective
 * @param timeout longest time in which a request to the queue is answered
 */
public record JobQueue(
        QueueKey key,
        String service,
        int priority,
        int maxAttempts,
        double stretch,
        Duration latencyTarget,
        Duration timeout) {
    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if the stretch or a duration is out of range
     */
    public JobQueue {
        if (!(stretch >= 0 && stretch <= Limits.MAX_STRETCH)) {
            throw new IllegalArgumentException("stretch is out of range: " + stretch);
        }
        Limits.requireInRange(latencyTarget, "latency target");
        Limits.requireInRange(timeout, "timeout");
    }
}
