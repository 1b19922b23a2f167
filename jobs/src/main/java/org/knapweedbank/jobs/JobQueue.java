package org.knapweedbank.jobs;

import java.time.Duration;

/**
 * Queue that jobs are submitted to, as configured.
 *
 * @param key identity of the queue, stable over configuration versions
 * @param service pool of VMs that runs the tasks
 * @param priority rank; 0 comes first
 * @param maxAttempts how often a task may fail
 * @param stretch the objective is this multiple of the longest chain of work
 * @param latencyTarget time added to the objective
 * @param timeout longest time for an answer
 */
public record JobQueue(
        QueueKey key,
        String service,
        int priority,
        int maxAttempts,
        double stretch,
        Duration latencyTarget,
        Duration timeout) {}
