package org.knapweedbank.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;

/**
 * Attempt at a task that a VM holds: it runs there, or it has ended and its report has not been
 * acknowledged.
 *
 * @param task the task
 * @param attempt number of the attempt at the task
 * @param resources resources reserved for the attempt
 * @param state state of the attempt
 * @param detail reason of a failure or reference of a checkpoint; otherwise empty
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TaskHeld(
        TaskId task, int attempt, Resources resources, TaskReportState state, String detail) {}
