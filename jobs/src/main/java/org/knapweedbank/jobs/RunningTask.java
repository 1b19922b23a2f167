package org.knapweedbank.jobs;

/**
 * A run that a worker lists as running.
 *
 * @param task the task
 * @param run number of the run
 * @param checkpoint newest checkpoint, empty if none
 * @param percent share of its work that is done; 100 for a long-running task that is at work
 * @param figure tail latency in milliseconds of a task that serves users, otherwise processor use
 *     in thousandths of a core; both over the last half second
 */
public record RunningTask(TaskName task, long run, String checkpoint, int percent, long figure) {}
