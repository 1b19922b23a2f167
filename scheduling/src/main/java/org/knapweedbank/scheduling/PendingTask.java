package org.knapweedbank.scheduling;

import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;

/**
 * Task that waits for a VM.
 *
 * @param id identifier of the task
 * @param attempt number of the attempt to start
 * @param team team that owns the task
 * @param kind service or batch
 * @param taskClass class of tasks with similar resource usage
 * @param resources declared resources
 * @param priority priority within the team; higher values go first
 * @param urgent true if it may preempt batch tasks
 * @param submittedNanos monotonic time of submission in nanoseconds
 */
public record PendingTask(
        TaskId id,
        int attempt,
        String team,
        JobKind kind,
        String taskClass,
        Resources resources,
        int priority,
        boolean urgent,
        long submittedNanos) {}
