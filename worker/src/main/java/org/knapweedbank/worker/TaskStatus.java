package org.knapweedbank.worker;

import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;

/**
 * State of one attempt, as its worker reports it.
 *
 * @param task the task
 * @param attempt attempt number
 * @param resources resources that the worker reserves until the attempt ends
 * @param state lifecycle state of the attempt
 * @param detail reason of the failure, or reference of the checkpoint; empty in all other states
 */
public record TaskStatus(
        TaskId task, int attempt, Resources resources, TaskState state, String detail) {}
