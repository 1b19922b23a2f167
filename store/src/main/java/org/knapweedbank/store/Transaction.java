package org.knapweedbank.store;

import java.util.List;
import java.util.stream.Stream;

/**
 * Conditional transaction that the store runs atomically. If all conditions hold, the operations of
 * {@code onSuccess} run, otherwise those of {@code onFailure}.
 *
 * @param compares conditions; an empty list always holds
 * @param onSuccess operations to run if all conditions hold
 * @param onFailure operations to run otherwise
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
     * Creates a transaction that does nothing if a condition fails.
     *
     * @param compares conditions
     * @param operations operations to run if all conditions hold
     * @return the transaction
     */
    public static Transaction when(List<Compare> compares, List<Operation> operations) {
        return new Transaction(compares, operations, List.of());
    }

    /**
     * Creates an unconditional transaction.
     *
     * @param operations the operations
     * @return the transaction
     */
    public static Transaction of(Operation... operations) {
        return new Transaction(List.of(), List.of(operations), List.of());
    }

    /**
     * Creates a transaction that reads several keys at the same revision.
     *
     * @param keys the keys
     * @return the transaction; its results come in the order of the keys
     */
    public static Transaction read(String... keys) {
        List<Operation> reads = Stream.of(keys).<Operation>map(Operation.Get::new).toList();
        return new Transaction(List.of(), reads, List.of());
    }

    /**
     * Returns whether the transaction may write or delete keys.
     *
     * @return false if it only reads
     */
    public boolean mayWrite() {
        return mayWrite(onSuccess) || mayWrite(onFailure);
    }

    private static boolean mayWrite(List<Operation> operations) {
        return operations.stream()
                .anyMatch(
                        operation ->
                                switch (operation) {
                                    case Operation.Get ignored -> false;
                                    case Operation.Nested nested -> nested.transaction().mayWrite();
                                    default -> true;
                                });
    }
}
