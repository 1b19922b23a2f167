package org.knapweedbank.routing;

/** Event that affects a request. Attempts are numbered from 1. */
public sealed interface PlanEvent {
    /** The request has been admitted. */
    record Start() implements PlanEvent {}

    /** The store has claimed the idempotency key for this request. */
    record ClaimGranted() implements PlanEvent {}

    /**
     * The idempotency key has already been claimed by an earlier request.
     *
     * @param agent agent that got the earlier request, or empty if unknown
     * @param attemptId identifier of the earlier attempt
     */
    record ClaimHeld(String agent, String attemptId) implements PlanEvent {}

    /**
     * The idempotency key is not claimed, because the store refused the claim or is unreachable.
     *
     * @param reason short explanation
     */
    record ClaimUnavailable(String reason) implements PlanEvent {}

    /**
     * The store's reply to the claim was lost; the idempotency key may be claimed for this request.
     *
     * @param reason short explanation
     */
    record ClaimUnknown(String reason) implements PlanEvent {}

    /**
     * No byte of the attempt has been written to a connection, and none will be.
     *
     * @param attempt number of the attempt
     * @param reason short explanation
     */
    record NotSent(int attempt, String reason) implements PlanEvent {}

    /**
     * The connection was lost after bytes of the attempt may have been written.
     *
     * @param attempt number of the attempt
     * @param reason short explanation
     */
    record ConnectionLost(int attempt, String reason) implements PlanEvent {}

    /**
     * The status and headers of the answer have arrived.
     *
     * @param attempt number of the attempt
     * @param status HTTP status code
     * @param stream true if the body is an event stream
     */
    record Head(int attempt, int status, boolean stream) implements PlanEvent {}

    /**
     * A chunk of the body has arrived.
     *
     * @param attempt number of the attempt
     * @param index position of the chunk in the body, from 0
     * @param bytes content of the chunk
     */
    record Chunk(int attempt, int index, byte[] bytes) implements PlanEvent {}

    /**
     * The agent has sent the end of the answer.
     *
     * @param attempt number of the attempt
     * @param chunks number of chunks sent
     * @param bytes number of body bytes sent
     */
    record End(int attempt, int chunks, long bytes) implements PlanEvent {}

    /**
     * The agent guarantees that the attempt has not run and will not run.
     *
     * @param attempt number of the attempt
     * @param reason short explanation
     * @param failure true if the upstream could not be reached, false if it is busy or leaving
     */
    record NotRun(int attempt, String reason, boolean failure) implements PlanEvent {}

    /**
     * The agent does not know whether the attempt has run.
     *
     * @param attempt number of the attempt
     * @param reason short explanation
     */
    record OutcomeUnknown(int attempt, String reason) implements PlanEvent {}

    /**
     * The agent asks the entry to resume the event stream at another upstream.
     *
     * @param attempt number of the attempt
     */
    record StreamMoved(int attempt) implements PlanEvent {}

    /** The timer of {@link PlanAction.SetHedgeTimer} has expired. */
    record HedgeDue() implements PlanEvent {}

    /** The timer of {@link PlanAction.SetResumeTimer} has expired. */
    record ResumeDue() implements PlanEvent {}

    /** The deadline of the request has passed. */
    record DeadlinePassed() implements PlanEvent {}

    /** The caller has closed its connection. */
    record CallerDisconnected() implements PlanEvent {}
}
