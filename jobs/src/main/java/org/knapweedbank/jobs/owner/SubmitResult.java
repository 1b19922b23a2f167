package org.knapweedbank.jobs.owner;

import java.time.Duration;

/** Result of submitting a job to the owner. */
public sealed interface SubmitResult {
    /**
     * The owner has the job. The job is accepted once it is stored.
     *
     * @param job the job
     */
    record Known(Job job) implements SubmitResult {}

    /**
     * The job was not accepted and never runs unless it is submitted again.
     *
     * @param reason reason for the log and the caller
     * @param retryAfter time after which the caller may retry
     */
    record Refused(String reason, Duration retryAfter) implements SubmitResult {}

    /**
     * The job was not admitted because of overload and is unknown to this owner.
     *
     * @param reason reason for the log and the caller
     * @param retryAfter time after which the caller may retry
     */
    record Overloaded(String reason, Duration retryAfter) implements SubmitResult {}
}
