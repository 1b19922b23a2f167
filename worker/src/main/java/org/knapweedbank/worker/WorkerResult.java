package org.knapweedbank.worker;

/**
 * Result of one call to a worker.
 *
 * @param <T> type of the value
 */
public sealed interface WorkerResult<T> {
    /**
     * The worker answered.
     *
     * @param value the answer
     * @param <T> type of the value
     */
    record Succeeded<T>(T value) implements WorkerResult<T> {}

    /**
     * The worker refused the call; it had no effect.
     *
     * @param reason the worker's reason
     * @param <T> type of the value
     */
    record Refused<T>(String reason) implements WorkerResult<T> {}

    /**
     * The call is known to have had no effect, for example as no connection could be made.
     *
     * @param reason what failed
     * @param <T> type of the value
     */
    record Unavailable<T>(String reason) implements WorkerResult<T> {}

    /**
     * No answer arrived; the call may have taken effect.
     *
     * @param reason what failed
     * @param <T> type of the value
     */
    record Unknown<T>(String reason) implements WorkerResult<T> {}
}
