package org.knapweedbank.scheduling;

import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;

/**
 * A task that waits for a VM.
 *
 * @param id the task
 * @param attempt number of the attempt that is to start
 * @param team its team
 * @param kind service or batch
 * @param taskClass its class
 * @param resources declared resources
 * @param priority priority; higher goes first
 * @param urgent true if it may preempt batch tasks
 * @param submittedNanos monotonic time of submission
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
