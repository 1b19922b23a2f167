package org.knapweedbank.wire;

import org.knapweedbank.model.TaskId;

/**
 * Orders an attempt to stop without a checkpoint.
 *
 * @param epoch epoch of the owner
 * @param task the task
 * @param attempt attempt number
 */
public record StopTask(long epoch, TaskId task, int attempt) implements Message {}
