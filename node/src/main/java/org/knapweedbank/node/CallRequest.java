package org.knapweedbank.node;

import org.knapweedbank.jobs.JobSubmission;
import org.knapweedbank.jobs.QueueKey;
import org.knapweedbank.model.JobId;

/** Request of a caller to a queue. */
public sealed interface CallRequest {
    /**
     * Returns the queue that the request is addressed to.
     *
     * @return key of the queue
     */
    QueueKey queue();

    /**
     * Submits a job.
     *
     * @param queue the queue
     * @param submission the job and its steps
     */
    record Submit(QueueKey queue, JobSubmission submission) implements CallRequest {}

    /**
     * Reads the state of a job.
     *
     * @param queue the queue
     * @param job identifier of the job
     */
    record Read(QueueKey queue, JobId job) implements CallRequest {}

    /**
     * Cancels a job.
     *
     * @param queue the queue
     * @param job identifier of the job
     */
    record Cancel(QueueKey queue, JobId job) implements CallRequest {}

    /**
     * Counts the jobs of a queue of which no task has started.
     *
     * @param queue the queue
     */
    record Count(QueueKey queue) implements CallRequest {}
}
