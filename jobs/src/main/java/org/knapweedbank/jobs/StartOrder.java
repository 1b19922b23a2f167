package org.knapweedbank.jobs;

/**
 * Order to an agent to start a task.
 *
 * @param task name of the task
 * @param run number of the run, higher than that of each earlier run of the task
 * @param spec opaque text of the job, passed to the task
 * @param checkpoint checkpoint to resume from, empty if there is none
 * @param profile how the run shares its VM with other runs
 */
public record StartOrder(
        TaskName task, long run, String spec, String checkpoint, RunProfile profile) {}
