package org.knapweedbank.wire;

import org.knapweedbank.model.TaskId;

/**
 * Orders an attempt to write a checkpoint and stop.
 *
 * @param epoch epoch of the owner
 * @param task the task
 * @param attempt attempt number
 */
public record CheckpointTask(long epoch, TaskId task, int attempt) implements Message {}
