package org.knapweedbank.store;

import java.util.List;
import java.util.Optional;

/**
 * Result of a transaction that ran.
 *
 * @param compared true if all compares held
 * @param results one result for each operation that ran, in order
 * @param revision revision of the store after the transaction
 */
public record TransactionResult(boolean compared, List<OperationResult> results, long revision) {
    /**
     * The entry that an operation read.
     *
     * @param index position of the operation
     * @return the first entry read, or empty when the key is absent
     * @throws ClassCastException when the operation is not a read
     */
    public Optional<KeyEntry> read(int index) {
        return ((OperationResult.Read) results.get(index)).range().first();
    }

    /**
     * The result of a nested transaction.
     *
     * @param index position of the operation
     * @return the result
     * @throws ClassCastException when the operation is not a nested transaction
     */
    public TransactionResult nested(int index) {
        return ((OperationResult.Nested) results.get(index)).result();
    }
}
