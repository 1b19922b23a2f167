package org.knapweedbank.wire;

import org.knapweedbank.model.TaskId;

/**
 * Confirms that a report has been recorded; the agent may forget an attempt that has ended.
 *
 * @param task the task
 * @param attempt attempt number
 * @param state the state recorded
 */
public record ReportAck(TaskId task, int attempt, TaskReportState state) implements Message {}
