package org.knapweedbank.worker;

/**
 * Result of one call to a worker.
 *
 * @param <T> type of the value that the worker returns
 */
public sealed interface WorkerResult<T> {
    /**
     * The worker carried out the call.
     *
     * @param value value that the worker returned
     * @param <T> type of the value
     */
    record Succeeded<T>(T value) implements WorkerResult<T> {}

    /**
     * The worker refused the call, which had no effect.
     *
     * @param reason reason that the worker gave
     * @param <T> type of the value
     */
    record Refused<T>(String reason) implements WorkerResult<T> {}

    /**
     * The call failed and certainly had no effect, for example because the connection was refused.
     *
     * @param reason description of the failure
     * @param <T> type of the value
     */
    record Unavailable<T>(String reason) implements WorkerResult<T> {}

    /**
     * No usable response arrived, so the call may or may not have taken effect.
     *
     * @param reason description of the failure
     * @param <T> type of the value
     */
    record Unknown<T>(String reason) implements WorkerResult<T> {}
}
