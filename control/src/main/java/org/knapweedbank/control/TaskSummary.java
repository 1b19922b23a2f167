package org.knapweedbank.control;

import org.knapweedbank.model.TaskId;

/**
 * State of a task.
 *
 * @param id the task
 * @param state its state in lower case
 * @param attempt number of its last attempt, 0 before the first
 * @param vm VM of that attempt, or empty
 * @param detail reason of the last failure, or empty
 */
public record TaskSummary(TaskId id, String state, int attempt, String vm, String detail) {}
