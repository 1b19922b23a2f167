package org.knapweedbank.wire;

import org.knapweedbank.model.TaskId;

/**
 * Limits the processor time of an attempt.
 *
 * @param epoch epoch of the owner
 * @param task the task
 * @param attempt attempt number
 * @param share share of its processor time, from 0 (exclusive) to 1
 */
public record ThrottleTask(long epoch, TaskId task, int attempt, double share) implements Message {}
