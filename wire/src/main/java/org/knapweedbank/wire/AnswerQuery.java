package org.knapweedbank.wire;

/**
 * Asks an agent for the answer of an earlier attempt without running anything. The agent replies
 * with the recorded answer, waits while the attempt runs, states {@link NotRun} if it has marked
 * the attempt so, and otherwise replies {@link OutcomeUnknown}. An entry sends it for a repeat of
 * an idempotency key that is claimed already; a {@link Request} would run again at an agent that
 * has dropped the key.
 *
 * @param id identifier of this query within the connection, from the same range as requests
 * @param attemptId identifier of the attempt that holds the claim
 * @param service service name
 * @param idempotencyKey key given by the caller
 * @param deadlineMillis time left for the answer, in milliseconds
 */
public record AnswerQuery(
        long id, String attemptId, String service, String idempotencyKey, long deadlineMillis)
        implements Message {}
