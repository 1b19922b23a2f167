package org.knapweedbank.routing.duplicate;

/**
 * Decision about an attempt.
 *
 * @param <A> type of the recorded answers
 */
public sealed interface DuplicateDecision<A> {
    /**
     * The attempt is new and is now recorded as running.
     *
     * @param <A> type of the recorded answers
     */
    record Run<A>() implements DuplicateDecision<A> {}

    /**
     * An attempt of the same request is running; wait for its answer.
     *
     * @param attemptId identifier of the running attempt
     * @param <A> type of the recorded answers
     */
    record Join<A>(String attemptId) implements DuplicateDecision<A> {}

    /**
     * The request has run and its answer is recorded.
     *
     * @param answer the recorded answer
     * @param <A> type of the recorded answers
     */
    record Replay<A>(A answer) implements DuplicateDecision<A> {}

    /**
     * The attempt is marked as not run and must not run.
     *
     * @param reason why the attempt did not run
     * @param <A> type of the recorded answers
     */
    record NotRun<A>(String reason) implements DuplicateDecision<A> {}

    /**
     * The request may have run and its answer is not available.
     *
     * @param reason short explanation
     * @param <A> type of the recorded answers
     */
    record Unknown<A>(String reason) implements DuplicateDecision<A> {}

    /**
     * The table is full and the attempt must not run. The attempt is not recorded; the agent marks
     * it with {@link DuplicateTable#notRun}.
     *
     * @param reason short explanation
     * @param <A> type of the recorded answers
     */
    record Refuse<A>(String reason) implements DuplicateDecision<A> {}
}
