package org.knapweedbank.jobs;

import java.time.Duration;

/**
 * Order to start a task.
 *
 * @param task the task
 * @param run number of the run, higher than that of each earlier run of the task
 * @param spec opaque text of the job
 * @param checkpoint checkpoint to resume from, empty if none
 * @param pressure expected rise of utilization that a filler causes for the serving tasks of its VM
 *     at full pace; 0 if the task is not a filler and must not be paced
 * @param latencyObjective bound on the tail latency of a serving task, zero if none
 */
public record StartOrder(
        TaskName task,
        long run,
        String spec,
        String checkpoint,
        double pressure,
        Duration latencyObjective) {}
