package org.knapweedbank.store;

import java.util.List;
import java.util.Optional;

/**
 * Result of a transaction that the store has run.
 *
 * @param conditionsHeld true if all conditions held
 * @param results result of each operation that ran, in order
 * @param revision revision of the store after the transaction
 */
public record TransactionResult(
        boolean conditionsHeld, List<OperationResult> results, long revision) {
    /**
     * Returns the entry that an operation read.
     *
     * @param index position of the operation, from 0
     * @return the entry, or empty if the key is absent
     * @throws ClassCastException if the operation is not a read
     */
    public Optional<KeyEntry> read(int index) {
        return ((OperationResult.Read) results.get(index)).range().first();
    }

    /**
     * Returns the result of a nested transaction.
     *
     * @param index position of the operation, from 0
     * @return result of the nested transaction
     * @throws ClassCastException if the operation is not a nested transaction
     */
    public TransactionResult nested(int index) {
        return ((OperationResult.Nested) results.get(index)).result();
    }
}
