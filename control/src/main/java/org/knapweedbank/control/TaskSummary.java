package org.knapweedbank.control;

import org.knapweedbank.model.TaskId;

/**
 * Summary of a task for operators.
 *
 * @param id identifier of the task
 * @param state name of the task's lifecycle state in lower case
 * @param attempt number of the last attempt, 0 before the first
 * @param vm VM of that attempt, or empty
 * @param detail reason of the last failure, or empty
 */
public record TaskSummary(TaskId id, String state, int attempt, String vm, String detail) {}
