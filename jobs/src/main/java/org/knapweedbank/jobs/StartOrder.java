package org.knapweedbank.jobs;

import java.time.Duration;

/**
 * Order to start a task.
 *
 * @param task the task
 * @param run number of the run, higher than that of each earlier run of the task
 * @param spec opaque text of the job
 * @param checkpoint checkpoint to resume from, empty if none
 * @param filler true if the task may be paced down for the sake of serving tasks
 * @param latencyObjective bound on the tail latency of a serving task, zero if none
 */
public record StartOrder(
        TaskName task,
        long run,
        String spec,
        String checkpoint,
        boolean filler,
        Duration latencyObjective) {}
