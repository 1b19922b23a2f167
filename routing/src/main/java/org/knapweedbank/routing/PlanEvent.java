package org.knapweedbank.routing;

/** An event in the life of a caller's request. Attempts are numbered from 1. */
public sealed interface PlanEvent {
    /** The request has been admitted. */
    record Start() implements PlanEvent {}

    /** The key is claimed for this request. */
    record ClaimGranted() implements PlanEvent {}

    /**
     * The key was claimed before, by an earlier request.
     *
     * @param agent agent that got the earlier request, or empty if not known
     * @param attemptId attempt id of the earlier request
     */
    record ClaimHeld(String agent, String attemptId) implements PlanEvent {}

    /**
     * The key is not claimed, as the store refused or cannot be reached.
     *
     * @param reason short reason
     */
    record ClaimUnavailable(String reason) implements PlanEvent {}

    /**
     * The store's answer was lost; the key may be claimed for this request.
     *
     * @param reason short reason
     */
    record ClaimUnknown(String reason) implements PlanEvent {}

    /**
     * No byte of the attempt has been written to a connection, and none will be.
     *
     * @param attempt number of the attempt
     * @param reason short reason
     */
    record NotSent(int attempt, String reason) implements PlanEvent {}

    /**
     * The connection ended after bytes of the attempt may have been written.
     *
     * @param attempt number of the attempt
     * @param reason short reason
     */
    record ConnectionLost(int attempt, String reason) implements PlanEvent {}

    /**
     * Status and headers have arrived.
     *
     * @param attempt number of the attempt
     * @param status HTTP status
     * @param stream true if an event stream follows
     */
    record Head(int attempt, int status, boolean stream) implements PlanEvent {}

    /**
     * Part of the body has arrived.
     *
     * @param attempt number of the attempt
     * @param index position of the part, from 0
     * @param bytes content
     */
    record Chunk(int attempt, int index, byte[] bytes) implements PlanEvent {}

    /**
     * The agent states that the answer is complete.
     *
     * @param attempt number of the attempt
     * @param chunks number of parts sent
     * @param bytes number of body bytes sent
     */
    record End(int attempt, int chunks, long bytes) implements PlanEvent {}

    /**
     * The agent proves that the attempt has not run and will not run.
     *
     * @param attempt number of the attempt
     * @param reason short reason
     * @param failure true if the upstream could not be reached, false if it is busy or leaving
     */
    record NotRun(int attempt, String reason, boolean failure) implements PlanEvent {}

    /**
     * The agent does not know whether the attempt has run.
     *
     * @param attempt number of the attempt
     * @param reason short reason
     */
    record OutcomeUnknown(int attempt, String reason) implements PlanEvent {}

    /**
     * The agent asks to continue the event stream elsewhere.
     *
     * @param attempt number of the attempt
     */
    record StreamMoved(int attempt) implements PlanEvent {}

    /** The delay of {@link PlanAction.SetHedgeTimer} has passed. */
    record HedgeDue() implements PlanEvent {}

    /** The delay of {@link PlanAction.SetResumeTimer} has passed. */
    record ResumeDue() implements PlanEvent {}

    /** The deadline of the request has passed. */
    record DeadlinePassed() implements PlanEvent {}

    /** The caller has closed its connection. */
    record CallerGone() implements PlanEvent {}
}
