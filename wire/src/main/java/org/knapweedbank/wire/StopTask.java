package org.knapweedbank.wire;

import org.knapweedbank.model.TaskId;

/**
 * Instructs an agent to stop an attempt without a checkpoint.
 *
 * @param epoch epoch of the partition's owner
 * @param task the task
 * @param attempt number of the attempt at the task
 */
public record StopTask(long epoch, TaskId task, int attempt) implements Message {}
