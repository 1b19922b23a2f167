package org.knapweedbank.jobs;

/**
 * A run that a worker lists as ended.
 *
 * @param number sequence number of the ended run in this incarnation of the worker, from 1
 * @param task name of the task
 * @param run number of the run
 * @param kind how the run ended
 * @param checkpoint newest checkpoint, empty if there is none
 */
public record EndedRun(long number, TaskName task, long run, EndKind kind, String checkpoint) {}
