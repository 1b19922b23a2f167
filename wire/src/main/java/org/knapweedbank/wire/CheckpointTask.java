package org.knapweedbank.wire;

import org.knapweedbank.model.TaskId;

/**
 * Instructs an agent to let an attempt write a checkpoint and stop.
 *
 * @param epoch epoch of the partition's owner
 * @param task the task
 * @param attempt number of the attempt at the task
 */
public record CheckpointTask(long epoch, TaskId task, int attempt) implements Message {}
