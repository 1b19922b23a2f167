package org.knapweedbank.store;

/** Result of one operation of a transaction. */
public sealed interface OperationResult {
    /** The write or deletion was carried out. */
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
     * @param result result of the nested transaction
     */
    record Nested(TransactionResult result) implements OperationResult {}
}
