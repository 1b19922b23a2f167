package org.knapweedbank.jobs.owner;

import java.time.Duration;

/** Answer of the owner to a submission. */
public sealed interface SubmitResult {
    /**
     * The job is known; it is accepted once it is stored.
     *
     * @param job the job
     */
    record Known(Job job) implements SubmitResult {}

    /**
     * The job was not accepted and never runs unless it is submitted again.
     *
     * @param reason cause for the log and the caller
     * @param retryAfter when another try makes sense
     */
    record Refused(String reason, Duration retryAfter) implements SubmitResult {}
}
