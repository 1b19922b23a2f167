package org.knapweedbank.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;

/**
 * An attempt held by a VM.
 *
 * @param task the task
 * @param attempt attempt number
 * @param resources resources reserved
 * @param state its state
 * @param detail reason of a failure, reference of a checkpoint, otherwise empty
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TaskHeld(
        TaskId task, int attempt, Resources resources, TaskReportState state, String detail) {}
