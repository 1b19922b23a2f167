package org.knapweedbank.node;

import java.time.Duration;
import org.knapweedbank.jobs.JobState;

/** Answer to a request of a caller. */
public sealed interface CallAnswer {
    /** The submission or cancellation is stored. */
    record Accepted() implements CallAnswer {}

    /**
     * The request was not carried out and will not be.
     *
     * @param reason cause for the log and the caller
     * @param overload true if the cause is overload, false if a component is unavailable
     * @param retryAfter time after which the caller should retry
     */
    record Refused(String reason, boolean overload, Duration retryAfter) implements CallAnswer {}

    /**
     * The change may have been made or may still be made; the caller has to repeat the request.
     *
     * @param reason cause for the log and the caller
     */
    record OutcomeUnknown(String reason) implements CallAnswer {}

    /** The job does not exist. */
    record NoSuchJob() implements CallAnswer {}

    /**
     * State of a job.
     *
     * @param state current state of the job
     */
    record State(JobState state) implements CallAnswer {}

    /**
     * Number of jobs in the queue of which no task has started.
     *
     * @param count number of jobs
     */
    record Pending(long count) implements CallAnswer {}
}
