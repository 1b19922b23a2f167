package org.knapweedbank.routing;

import java.time.Duration;
import org.knapweedbank.model.RequestOutcome;

/**
 * Action that the entry must perform for a request. Actions are performed in the order in which
 * they are returned.
 */
public sealed interface PlanAction {
    /**
     * Claims the idempotency key in the store.
     *
     * @param agent agent to which the request is to be sent
     */
    record Claim(String agent) implements PlanAction {}

    /** Releases the claim of the idempotency key, because the request is known not to have run. */
    record ReleaseClaim() implements PlanAction {}

    /**
     * Sends an attempt to an upstream.
     *
     * @param attempt number of the attempt, from 1
     * @param upstream upstream that gets the attempt
     * @param resume true if the attempt resumes an event stream after the last forwarded event
     */
    record Send(int attempt, UpstreamId upstream, boolean resume) implements PlanAction {}

    /**
     * Requests the recorded answer to an earlier attempt from an agent, without running the
     * request.
     *
     * @param attempt number of the attempt, from 1
     * @param agent agent that got the earlier attempt
     * @param attemptId identifier of the earlier attempt
     */
    record Replay(int attempt, String agent, String attemptId) implements PlanAction {}

    /**
     * Tells the agent that the answer to an attempt is no longer needed.
     *
     * @param attempt number of the attempt
     */
    record Cancel(int attempt) implements PlanAction {}

    /**
     * Starts a timer that triggers {@link PlanEvent.HedgeDue}.
     *
     * @param delay delay of the timer
     */
    record SetHedgeTimer(Duration delay) implements PlanAction {}

    /**
     * Starts a timer that triggers {@link PlanEvent.ResumeDue}; replaces an earlier resume timer.
     *
     * @param delay delay of the timer
     */
    record SetResumeTimer(Duration delay) implements PlanAction {}

    /**
     * Sends the status and headers of an attempt's answer to the caller.
     *
     * @param attempt number of the attempt
     */
    record ForwardHead(int attempt) implements PlanAction {}

    /**
     * Sends a chunk of the body to the caller.
     *
     * @param attempt number of the attempt
     * @param bytes content of the chunk
     */
    record ForwardBody(int attempt, byte[] bytes) implements PlanAction {}

    /** Ends the answer to the caller, which is complete. */
    record EndAnswer() implements PlanAction {}

    /**
     * Closes the caller's connection, because part of the answer has been sent and the rest is not
     * available.
     *
     * @param reason short explanation for the log
     */
    record AbortAnswer(String reason) implements PlanAction {}

    /**
     * Refuses the request, to which no part of an answer has been sent.
     *
     * @param kind reason of the refusal, which determines the status
     * @param outcome whether the request did not run or its outcome is unknown
     */
    record Refuse(Refusal kind, RequestOutcome outcome) implements PlanAction {}
}
