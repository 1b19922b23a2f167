package org.knapweedbank.node;

import org.knapweedbank.jobs.JobSubmission;
import org.knapweedbank.jobs.QueueKey;
import org.knapweedbank.model.JobId;

/** What a caller asks of a queue. */
public sealed interface CallRequest {
    /**
     * The queue.
     *
     * @return its key
     */
    QueueKey queue();

    /**
     * Submits a job.
     *
     * @param queue the queue
     * @param submission the job
     */
    record Submit(QueueKey queue, JobSubmission submission) implements CallRequest {}

    /**
     * Asks for the state of a job.
     *
     * @param queue the queue
     * @param job the job
     */
    record Read(QueueKey queue, JobId job) implements CallRequest {}

    /**
     * Cancels a job.
     *
     * @param queue the queue
     * @param job the job
     */
    record Cancel(QueueKey queue, JobId job) implements CallRequest {}

    /**
     * Counts the jobs of which no task has started.
     *
     * @param queue the queue
     */
    record Count(QueueKey queue) implements CallRequest {}
}
