package org.knapweedbank.control;

/**
 * Result of an operator's operation on a job.
 *
 * @param <T> type of the value that a successful operation returns
 */
public sealed interface JobResult<T> {
    /**
     * The operation succeeded.
     *
     * @param value value returned by the operation
     * @param <T> type of the value
     */
    record Done<T>(T value) implements JobResult<T> {}

    /**
     * The operation was not attempted, because another entry owns the job's partition or the
     * partition has no owner.
     *
     * @param partition partition of the job
     * @param ownerId identifier of the entry that owns it, or empty
     * @param <T> type of the value
     */
    record NotOwner<T>(int partition, String ownerId) implements JobResult<T> {}

    /**
     * The job does not exist.
     *
     * @param reason explanation for the operator
     * @param <T> type of the value
     */
    record NotFound<T>(String reason) implements JobResult<T> {}

    /**
     * The operation was refused and had no effect.
     *
     * @param reason explanation for the operator
     * @param <T> type of the value
     */
    record Refused<T>(String reason) implements JobResult<T> {}

    /**
     * The operation was attempted, but it is unknown whether it took effect.
     *
     * @param reason explanation for the operator
     * @param <T> type of the value
     */
    record Unknown<T>(String reason) implements JobResult<T> {}
}
