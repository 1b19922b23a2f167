package org.knapweedbank.worker;

import java.util.List;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;

/**
 * Order to start one attempt of a task.
 *
 * @param task the task
 * @param attempt attempt number, from 1
 * @param resources resources that the worker reserves
 * @param leaseMillis time to live of the task's lease in milliseconds
 * @param command program and arguments
 * @param checkpoint reference of the checkpoint to resume from, or the empty string
 */
public record TaskStart(
        TaskId task,
        int attempt,
        Resources resources,
        long leaseMillis,
        List<String> command,
        String checkpoint) {
    /** Copies the command. */
    public TaskStart {
        command = List.copyOf(command);
    }
}
