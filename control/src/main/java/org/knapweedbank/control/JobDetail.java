package org.knapweedbank.control;

import java.util.List;
import org.knapweedbank.model.JobSpec;

/**
 * A job with its tasks.
 *
 * @param summary summary of the job
 * @param spec specification of the job
 * @param tasks summaries of the tasks, by ascending index
 */
public record JobDetail(JobSummary summary, JobSpec spec, List<TaskSummary> tasks) {
    /** Makes a defensive copy of the task list. */
    public JobDetail {
        tasks = List.copyOf(tasks);
    }
}
