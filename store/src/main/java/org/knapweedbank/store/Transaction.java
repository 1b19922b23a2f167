package org.knapweedbank.store;

import java.util.List;
import java.util.stream.Stream;

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

    /**
     * A transaction that changes nothing when a condition fails.
     *
     * @param compares conditions
     * @param operations operations when all conditions hold
     * @return the transaction
     */
    public static Transaction when(List<Compare> compares, List<Operation> operations) {
        return new Transaction(compares, operations, List.of());
    }

    /**
     * An unconditional transaction.
     *
     * @param operations the operations
     * @return the transaction
     */
    public static Transaction of(Operation... operations) {
        return new Transaction(List.of(), List.of(operations), List.of());
    }

    /**
     * Reads some keys at one revision.
     *
     * @param keys the keys
     * @return the transaction; its results are in the order of the keys
     */
    public static Transaction read(String... keys) {
        List<Operation> reads = Stream.of(keys).<Operation>map(Operation.Get::new).toList();
        return new Transaction(List.of(), reads, List.of());
    }

    /**
     * Tells whether the transaction may change something.
     *
     * @return false if it only reads
     */
    public boolean writes() {
        return writes(onSuccess) || writes(onFailure);
    }

    private static boolean writes(List<Operation> operations) {
        return operations.stream()
                .anyMatch(
                        operation ->
                                switch (operation) {
                                    case Operation.Get ignored -> false;
                                    case Operation.Nested n -> n.transaction().writes();
                                    default -> true;
                                });
    }
}
