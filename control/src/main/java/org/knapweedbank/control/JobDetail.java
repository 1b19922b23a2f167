package org.knapweedbank.control;

import java.util.List;
import org.knapweedbank.model.JobSpec;

/**
 * A job with its tasks.
 *
 * @param summary the figures
 * @param spec the specification
 * @param tasks the tasks
 */
public record JobDetail(JobSummary summary, JobSpec spec, List<TaskSummary> tasks) {
    /** Copies the list. */
    public JobDetail {
        tasks = List.copyOf(tasks);
    }
}
