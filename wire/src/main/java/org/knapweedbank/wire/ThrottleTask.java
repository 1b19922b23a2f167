package org.knapweedbank.wire;

import org.knapweedbank.model.TaskId;

/**
 * Instructs an agent to throttle the CPU of an attempt.
 *
 * @param epoch epoch of the partition's owner
 * @param task the task
 * @param attempt number of the attempt at the task
 * @param share fraction of its CPU that the attempt may use, from 0 (exclusive) to 1
 */
public record ThrottleTask(long epoch, TaskId task, int attempt, double share) implements Message {}
