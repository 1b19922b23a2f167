package org.knapweedbank.worker;

import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;

/**
 * State of one attempt on its worker.
 *
 * @param task the task
 * @param attempt attempt number
 * @param resources resources reserved while it runs
 * @param state the state
 * @param detail reason of a failure or reference of a checkpoint; otherwise empty
 */
public record TaskStatus(
        TaskId task, int attempt, Resources resources, TaskState state, String detail) {}
