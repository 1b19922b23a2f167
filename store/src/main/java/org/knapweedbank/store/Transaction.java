package org.knapweedbank.store;

import java.util.List;

/**
 * Atomic conditional change. When all compares hold, the success operations run, otherwise the
 * failure operations.
 *
 * @param compares conditions; an empty list always holds
 * @param onSuccess operations when all conditions hold
 * @param onFailure operations otherwise
 */
public record Transaction(
        List<Compare> compares, List<Operation> onSuccess, List<Operation> onFailure) {
    /** Copies the lists. */
    public Transaction {
        compares = List.copyOf(compares);
        onSuccess = List.copyOf(onSuccess);
        onFailure = List.copyOf(onFailure);
    }
}
