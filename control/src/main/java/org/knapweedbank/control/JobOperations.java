package org.knapweedbank.control;

import io.smallrye.mutiny.Uni;
import java.util.List;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobSpec;

/** Operations that operators can perform on the jobs of the partitions that this entry owns. */
public interface JobOperations {
    /**
     * Submits a job. The result arrives after the journal has committed the job.
     *
     * @param spec specification of the job
     * @return the summary of the accepted job, or the reason for the refusal
     */
    Uni<JobResult<JobSummary>> submit(JobSpec spec);

    /**
     * Lists the jobs of all partitions that this entry owns.
     *
     * @return the summaries of the jobs
     */
    Uni<JobResult<List<JobSummary>>> list();

    /**
     * Returns a job with its tasks.
     *
     * @param job identifier of the job
     * @return the job
     */
    Uni<JobResult<JobDetail>> show(JobId job);

    /**
     * Cancels a job. The result arrives after the journal has committed the cancellation; attempts
     * that are running at that time end later.
     *
     * @param job identifier of the job
     * @return the summary of the job
     */
    Uni<JobResult<JobSummary>> cancel(JobId job);

    /**
     * Explains why a job waits.
     *
     * @param job identifier of the job
     * @return an explanation on which an operator can act
     */
    Uni<JobResult<String>> explain(JobId job);
}
