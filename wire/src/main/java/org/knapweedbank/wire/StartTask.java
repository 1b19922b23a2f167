package org.knapweedbank.wire;

import java.util.List;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;

/**
 * Orders the start of an attempt.
 *
 * @param epoch epoch of the owner
 * @param task the task
 * @param attempt attempt number
 * @param resources resources to reserve
 * @param service true for a service task, which survives the silence of the store
 * @param command program and arguments
 * @param checkpoint checkpoint to resume from, or empty
 * @param permit limits the time in which the start is allowed
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
    /** Copies the lists. */
    public StartTask {
        command = List.copyOf(command);
    }
}
