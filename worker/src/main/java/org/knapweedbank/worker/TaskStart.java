package org.knapweedbank.worker;

import java.util.List;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;

/**
 * Request to start one attempt of a task.
 *
 * @param task the task
 * @param attempt attempt number, starting at 1
 * @param resources resources that the worker reserves for the attempt
 * @param leaseMillis time to live of the task's lease in milliseconds
 * @param command program and its arguments
 * @param checkpoint reference of the checkpoint to resume from, or an empty string to start anew
 */
public record TaskStart(
        TaskId task,
        int attempt,
        Resources resources,
        long leaseMillis,
        List<String> command,
        String checkpoint) {
    /** Copies the command, so that the record is immutable. */
    public TaskStart {
        command = List.copyOf(command);
    }
}
