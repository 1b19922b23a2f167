package org.knapweedbank.jobs;

/**
 * Order to start a task.
 *
 * @param task the task
 * @param run number of the run, higher than that of each earlier run of the task
 * @param spec opaque text of the job
 * @param checkpoint checkpoint to resume from, empty if none
 * @param profile how the run shares its VM with others
 */
public record StartOrder(
        TaskName task, long run, String spec, String checkpoint, RunProfile profile) {}
