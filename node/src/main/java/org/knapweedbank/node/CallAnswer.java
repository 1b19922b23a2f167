package org.knapweedbank.node;

import java.time.Duration;
import org.knapweedbank.jobs.JobState;

/** Answer to a caller. */
public sealed interface CallAnswer {
    /** The change is stored. */
    record Accepted() implements CallAnswer {}

    /**
     * Nothing was done and nothing will be.
     *
     * @param reason cause for the log and the caller
     * @param overload true if the cause is load, false if a part of the system is away
     * @param retryAfter when another try makes sense
     */
    record Refused(String reason, boolean overload, Duration retryAfter) implements CallAnswer {}

    /**
     * The change may have been made or may still be made; the caller has to ask again.
     *
     * @param reason cause for the log and the caller
     */
    record OutcomeUnknown(String reason) implements CallAnswer {}

    /** There is no such job. */
    record NoSuchJob() implements CallAnswer {}

    /**
     * State of a job.
     *
     * @param state the state
     */
    record State(JobState state) implements CallAnswer {}

    /**
     * Number of jobs of which no task has started.
     *
     * @param count the number
     */
    record Pending(long count) implements CallAnswer {}
}
