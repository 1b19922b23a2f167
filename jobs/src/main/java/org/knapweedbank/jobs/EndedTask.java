package org.knapweedbank.jobs;

/**
 * A run that a worker lists as ended.
 *
 * @param number number of the end in this incarnation of the worker, from 1
 * @param task the task
 * @param run number of the run
 * @param how how it ended
 * @param checkpoint newest checkpoint, empty if none
 */
public record EndedTask(long number, TaskName task, long run, EndKind how, String checkpoint) {}
