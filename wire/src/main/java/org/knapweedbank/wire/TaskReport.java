package org.knapweedbank.wire;

import org.knapweedbank.model.TaskId;

/**
 * Reports the state of an attempt; repeated until acknowledged.
 *
 * @param epoch epoch that the agent accepts
 * @param task the task
 * @param attempt attempt number
 * @param state the state
 * @param detail reason of a failure or refusal, reference of a checkpoint, otherwise empty
 */
public record TaskReport(long epoch, TaskId task, int attempt, TaskReportState state, String detail)
        implements Message {}
