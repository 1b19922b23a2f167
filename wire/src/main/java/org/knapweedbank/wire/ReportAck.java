package org.knapweedbank.wire;

import org.knapweedbank.model.TaskId;

/**
 * Confirms that the owner has recorded a {@link TaskReport}. If the attempt has ended, the agent
 * may discard it.
 *
 * @param task the task
 * @param attempt number of the attempt at the task
 * @param state recorded state of the attempt
 */
public record ReportAck(TaskId task, int attempt, TaskReportState state) implements Message {}
