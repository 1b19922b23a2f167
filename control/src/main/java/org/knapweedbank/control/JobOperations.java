package org.knapweedbank.control;

import io.smallrye.mutiny.Uni;
import java.util.List;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobSpec;

/** Operations on the jobs of the partitions that this entry owns. */
public interface JobOperations {
    /**
     * Submits a job; answered after the job is in the journal.
     *
     * @param spec the job
     * @return the job as accepted, or why it was not
     */
    Uni<JobResult<JobSummary>> submit(JobSpec spec);

    /**
     * Lists jobs.
     *
     * @return the jobs of the partitions owned here
     */
    Uni<JobResult<List<JobSummary>>> list();

    /**
     * Shows a job with its tasks.
     *
     * @param job the job
     * @return the job
     */
    Uni<JobResult<JobDetail>> show(JobId job);

    /**
     * Cancels a job; answered after the cancellation is in the journal.
     *
     * @param job the job
     * @return the job
     */
    Uni<JobResult<JobSummary>> cancel(JobId job);

    /**
     * Explains why a job waits.
     *
     * @param job the job
     * @return a sentence on which an operator can act
     */
    Uni<JobResult<String>> explain(JobId job);
}
