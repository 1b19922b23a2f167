package org.knapweedbank.wire;

import org.knapweedbank.model.TaskId;

/**
 * Reports the state of an attempt. The agent repeats the report until it is acknowledged.
 *
 * @param epoch epoch of the owner that the agent has accepted
 * @param task the task
 * @param attempt number of the attempt at the task
 * @param state state of the attempt
 * @param detail reason of a failure or rejection, or reference of a checkpoint; otherwise empty
 */
public record TaskReport(long epoch, TaskId task, int attempt, TaskReportState state, String detail)
        implements Message {}
