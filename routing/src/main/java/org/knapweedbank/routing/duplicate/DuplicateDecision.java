package org.knapweedbank.routing.duplicate;

/**
 * What to do with an attempt.
 *
 * @param <A> type of the recorded answers
 */
public sealed interface DuplicateDecision<A> {
    /**
     * The attempt is new and is now held as running.
     *
     * @param <A> type of the recorded answers
     */
    record Run<A>() implements DuplicateDecision<A> {}

    /**
     * An attempt of the same request runs; its answer is to be awaited.
     *
     * @param attemptId the attempt that runs
     * @param <A> type of the recorded answers
     */
    record Join<A>(String attemptId) implements DuplicateDecision<A> {}

    /**
     * The request has run and its answer is recorded.
     *
     * @param answer the answer
     * @param <A> type of the recorded answers
     */
    record Replay<A>(A answer) implements DuplicateDecision<A> {}

    /**
     * The attempt is marked as not run and must not run.
     *
     * @param reason why it did not run
     * @param <A> type of the recorded answers
     */
    record NotRun<A>(String reason) implements DuplicateDecision<A> {}

    /**
     * The request may have run and its answer is not available.
     *
     * @param reason short reason
     * @param <A> type of the recorded answers
     */
    record Unknown<A>(String reason) implements DuplicateDecision<A> {}

    /**
     * The table is full; the attempt must not run now. It is not held: the caller marks it by
     * {@link DuplicateTable#notRun}.
     *
     * @param reason short reason
     * @param <A> type of the recorded answers
     */
    record Refuse<A>(String reason) implements DuplicateDecision<A> {}
}
