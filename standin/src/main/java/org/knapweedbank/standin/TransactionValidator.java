package org.knapweedbank.standin;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.Transaction;

/**
 * Checks a transaction against the limits of the platform's key-value service: the size of each
 * value and of the request, the number of operations at each nesting level, and that no key is
 * written twice.
 */
final class TransactionValidator {
    static final int MAX_VALUE_BYTES = 1_000_000;
    private static final int MAX_REQUEST_BYTES = 1_572_864;
    private static final int MAX_OPERATIONS = 128;

    private long mRequestBytes;

    private TransactionValidator() {}

    /** Returns a description of the first violated limit, or empty if the transaction is valid. */
    static Optional<String> findViolation(Transaction transaction) {
        try {
            new TransactionValidator().checkAndCollectWrites(transaction);
            return Optional.empty();
        } catch (LimitException e) {
            return Optional.of(e.getMessage());
        }
    }

    /** Thrown when a transaction violates a limit. */
    private static final class LimitException extends Exception {
        private static final long serialVersionUID = 1L;

        private LimitException(String message) {
            super(message);
        }
    }

    /**
     * Keys that operations write.
     *
     * @param puts keys that are put
     * @param deletions key ranges that are deleted
     */
    private record Writes(Set<String> puts, List<Operation.DeleteRange> deletions) {
        private boolean deletes(String key) {
            return deletions.stream()
                    .anyMatch(
                            deletion ->
                                    key.compareTo(deletion.from()) >= 0
                                            && key.compareTo(deletion.to()) < 0);
        }
    }

    /** Checks a transaction and returns the keys that either branch writes. */
    private Writes checkAndCollectWrites(Transaction transaction) throws LimitException {
        int operationCount =
                Math.max(
                        transaction.compares().size(),
                        Math.max(transaction.onSuccess().size(), transaction.onFailure().size()));
        if (operationCount > MAX_OPERATIONS) {
            throw new LimitException("too many operations in a transaction: " + operationCount);
        }
        Writes success = checkAndCollectWrites(transaction.onSuccess());
        Writes failure = checkAndCollectWrites(transaction.onFailure());
        success.puts.addAll(failure.puts);
        success.deletions.addAll(failure.deletions);
        return success;
    }

    /** Checks the operations of one branch and returns the keys that they write. */
    private Writes checkAndCollectWrites(List<Operation> operations) throws LimitException {
        Writes collected = new Writes(new HashSet<>(), new ArrayList<>());
        for (Operation operation : operations) {
            Writes added = writesOf(operation);
            for (String key : added.puts) {
                if (!collected.puts.add(key) || collected.deletes(key)) {
                    throw new LimitException("duplicate key in a transaction: " + key);
                }
            }
            collected.deletions.addAll(added.deletions);
            for (String key : collected.puts) {
                if (!added.puts.contains(key) && added.deletes(key)) {
                    throw new LimitException("duplicate key in a transaction: " + key);
                }
            }
        }
        return collected;
    }

    private Writes writesOf(Operation operation) throws LimitException {
        return switch (operation) {
            case Operation.Put put -> {
                checkSize(put);
                yield new Writes(Set.of(put.key()), List.of());
            }
            case Operation.Delete delete ->
                    new Writes(
                            Set.of(),
                            List.of(new Operation.DeleteRange(delete.key(), delete.key() + "\0")));
            case Operation.DeleteRange range -> new Writes(Set.of(), List.of(range));
            case Operation.Get ignored -> new Writes(Set.of(), List.of());
            case Operation.Nested nested -> checkAndCollectWrites(nested.transaction());
        };
    }

    private void checkSize(Operation.Put put) throws LimitException {
        if (put.value().length > MAX_VALUE_BYTES) {
            throw new LimitException(
                    "value of " + put.key() + " is too large: " + put.value().length + " bytes");
        }
        mRequestBytes += put.key().length() + put.value().length;
        if (mRequestBytes > MAX_REQUEST_BYTES) {
            throw new LimitException("request is too large: more than " + MAX_REQUEST_BYTES);
        }
    }
}
