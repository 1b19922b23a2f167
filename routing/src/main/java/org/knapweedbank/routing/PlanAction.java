package org.knapweedbank.routing;

import java.time.Duration;
import org.knapweedbank.model.RequestOutcome;

/** What the entry has to do next for a caller's request. Actions are carried out in order. */
public sealed interface PlanAction {
    /**
     * Claim the key in the store.
     *
     * @param agent agent that is meant to get the request
     */
    record Claim(String agent) implements PlanAction {}

    /** Release the claim, as it is proven that the request has not run. */
    record ReleaseClaim() implements PlanAction {}

    /**
     * Send an attempt.
     *
     * @param attempt number of the attempt, from 1
     * @param upstream the upstream
     * @param resume true if it continues an event stream after the last event forwarded
     */
    record Send(int attempt, UpstreamId upstream, boolean resume) implements PlanAction {}

    /**
     * Ask an agent for the recorded answer to an earlier attempt, without running the request.
     *
     * @param attempt number of the attempt, from 1
     * @param agent the agent
     * @param attemptId attempt id of the earlier request
     */
    record Replay(int attempt, String agent, String attemptId) implements PlanAction {}

    /**
     * Tell the agent that the answer of an attempt is no longer wanted.
     *
     * @param attempt number of the attempt
     */
    record Cancel(int attempt) implements PlanAction {}

    /**
     * Report {@link PlanEvent.HedgeDue} after a delay.
     *
     * @param delay the delay
     */
    record SetHedgeTimer(Duration delay) implements PlanAction {}

    /**
     * Report {@link PlanEvent.ResumeDue} after a delay; replaces an earlier timer of this kind.
     *
     * @param delay the delay
     */
    record SetResumeTimer(Duration delay) implements PlanAction {}

    /**
     * Send status and headers of an attempt to the caller.
     *
     * @param attempt number of the attempt
     */
    record ForwardHead(int attempt) implements PlanAction {}

    /**
     * Send a part of the body to the caller.
     *
     * @param attempt number of the attempt
     * @param bytes content
     */
    record ForwardBody(int attempt, byte[] bytes) implements PlanAction {}

    /** End the caller's answer; it is complete. */
    record EndAnswer() implements PlanAction {}

    /**
     * Break the caller's connection, as part of the answer has been sent and the rest is missing.
     *
     * @param reason short reason for the log
     */
    record AbortAnswer(String reason) implements PlanAction {}

    /**
     * Refuse the request; nothing has been sent to the caller yet.
     *
     * @param kind kind of the refusal
     * @param outcome {@code NotRun} or {@code Unknown}
     */
    record Refuse(Refusal kind, RequestOutcome outcome) implements PlanAction {}
}
