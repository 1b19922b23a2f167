package org.knapweedbank.wire;

/**
 * Asks an agent for the response of an earlier attempt without running the request again. If the
 * attempt is still running, the agent replies when it ends. The reply is the recorded response,
 * {@link NotRun} if the agent has recorded that the attempt did not run, and otherwise {@link
 * OutcomeUnknown}. An entry sends this message when a caller repeats an idempotency key that has
 * already been claimed. It does not send a {@link Request}, because an agent that no longer holds
 * the key would run it again.
 *
 * @param id identifier of this query within the connection, unique among queries and requests
 * @param attemptId identifier of the attempt that holds the claim
 * @param service service name
 * @param idempotencyKey idempotency key given by the caller
 * @param deadlineMillis time left until the response has to arrive, in milliseconds
 */
public record AnswerQuery(
        long id, String attemptId, String service, String idempotencyKey, long deadlineMillis)
        implements Message {}
