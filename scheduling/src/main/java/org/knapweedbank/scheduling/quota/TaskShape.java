package org.knapweedbank.scheduling.quota;

import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.scheduling.PendingTask;

/**
 * What decides whether a VM can hold a task. If one task of a shape finds no VM, no other does.
 *
 * @param resources declared resources
 * @param kind service or batch
 * @param taskClass task class, by which the resources are corrected
 * @param urgent true if the task may preempt
 */
record TaskShape(Resources resources, JobKind kind, String taskClass, boolean urgent) {
    static TaskShape of(PendingTask task) {
        return new TaskShape(task.resources(), task.kind(), task.taskClass(), task.urgent());
    }
}
