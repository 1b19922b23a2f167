package org.knapweedbank.scheduling.quota;

import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.scheduling.PendingTask;

/**
 * Properties of a task that determine which VMs can hold it. If no VM can hold one task of a shape,
 * none can hold any other.
 *
 * @param resources declared resources
 * @param kind service or batch
 * @param taskClass task class, whose usage corrects the declared resources
 * @param urgent true if the task may preempt batch tasks
 */
record TaskShape(Resources resources, JobKind kind, String taskClass, boolean urgent) {
    static TaskShape of(PendingTask task) {
        return new TaskShape(task.resources(), task.kind(), task.taskClass(), task.urgent());
    }
}
