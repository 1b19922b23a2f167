package org.knapweedbank.store;

/** Result of one operation of a transaction. */
public sealed interface OperationResult {
    /** A write or a deletion was done. */
    record Done() implements OperationResult {}

    /**
     * Result of a read.
     *
     * @param range the entries read
     */
    record Read(KeyRange range) implements OperationResult {}

    /**
     * Result of a nested transaction.
     *
     * @param result the result
     */
    record Nested(TransactionResult result) implements OperationResult {}
}
