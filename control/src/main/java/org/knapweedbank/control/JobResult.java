package org.knapweedbank.control;

/**
 * Result of an operation on a job.
 *
 * @param <T> type of the value
 */
public sealed interface JobResult<T> {
    /**
     * The operation is done.
     *
     * @param value the result
     * @param <T> type of the value
     */
    record Done<T>(T value) implements JobResult<T> {}

    /**
     * The job belongs to a partition of another entry, or its partition has no owner.
     *
     * @param partition the partition
     * @param ownerId identifier of the entry that owns it, or empty
     * @param <T> type of the value
     */
    record NotOwner<T>(int partition, String ownerId) implements JobResult<T> {}

    /**
     * No such job.
     *
     * @param reason a sentence for the operator
     * @param <T> type of the value
     */
    record NotFound<T>(String reason) implements JobResult<T> {}

    /**
     * The operation is refused and has had no effect.
     *
     * @param reason a sentence for the operator
     * @param <T> type of the value
     */
    record Refused<T>(String reason) implements JobResult<T> {}

    /**
     * It is not known whether the operation took effect.
     *
     * @param reason a sentence for the operator
     * @param <T> type of the value
     */
    record Unknown<T>(String reason) implements JobResult<T> {}
}
