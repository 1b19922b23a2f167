package org.knapweedbank.jobs.reservation;

import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.model.JobId;

/**
 * Identity of a step, whose tasks have the same requirements.
 *
 * @param job identifier of the job
 * @param occurrence number of the scheduled occurrence
 * @param step index of the step in the job
 */
public record StepKey(JobId job, int occurrence, int step) {
    /**
     * Returns the step of a task.
     *
     * @param task name of the task
     * @return its step
     */
    public static StepKey of(TaskName task) {
        return new StepKey(task.job(), task.occurrence(), task.step());
    }
}
