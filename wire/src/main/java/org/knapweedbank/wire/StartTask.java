package org.knapweedbank.wire;

import java.util.List;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;

/**
 * Instructs an agent to start an attempt.
 *
 * @param epoch epoch of the partition's owner
 * @param task the task
 * @param attempt number of the attempt at the task
 * @param resources resources to reserve for the attempt
 * @param service true for a service task, which keeps running while the store does not respond
 * @param command program and arguments
 * @param checkpoint reference of the checkpoint to resume from, or empty
 * @param permit permission that limits until when the attempt may be started
 */
public record StartTask(
        long epoch,
        TaskId task,
        int attempt,
        Resources resources,
        boolean service,
        List<String> command,
        String checkpoint,
        StartPermit permit)
        implements Message {
    /** Makes unmodifiable copies of the lists. */
    public StartTask {
        command = List.copyOf(command);
    }
}
