package org.knapweedbank.standin;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.Transaction;

/**
 * Limits that the platform's service sets on a transaction: size of values and of the request,
 * number of operations at each level, and no key written twice.
 */
final class TransactionRules {
    static final int MAX_VALUE_BYTES = 1_000_000;
    private static final int MAX_REQUEST_BYTES = 1_572_864;
    private static final int MAX_OPERATIONS = 128;

    private long mBytes;

    private TransactionRules() {}

    /** Returns the reason for a refusal, or empty. */
    static Optional<String> violation(Transaction transaction) {
        try {
            new TransactionRules().check(transaction);
            return Optional.empty();
        } catch (RuleException e) {
            return Optional.of(e.getMessage());
        }
    }

    private static final class RuleException extends Exception {
        private static final long serialVersionUID = 1L;

        private RuleException(String message) {
            super(message);
        }
    }

    /** Keys put and intervals deleted. */
    private record Writes(Set<String> puts, List<Operation.DeleteRange> deletions) {
        private boolean deletes(String key) {
            return deletions.stream()
                    .anyMatch(d -> key.compareTo(d.from()) >= 0 && key.compareTo(d.to()) < 0);
        }
    }

    private Writes check(Transaction transaction) throws RuleException {
        int most =
                Math.max(
                        transaction.compares().size(),
                        Math.max(transaction.onSuccess().size(), transaction.onFailure().size()));
        if (most > MAX_OPERATIONS) {
            throw new RuleException("too many operations in a transaction: " + most);
        }
        Writes success = check(transaction.onSuccess());
        Writes failure = check(transaction.onFailure());
        success.puts.addAll(failure.puts);
        success.deletions.addAll(failure.deletions);
        return success;
    }

    private Writes check(List<Operation> operations) throws RuleException {
        Writes all = new Writes(new HashSet<>(), new ArrayList<>());
        for (Operation operation : operations) {
            Writes one = writesOf(operation);
            for (String key : one.puts) {
                if (!all.puts.add(key) || all.deletes(key)) {
                    throw new RuleException("duplicate key in a transaction: " + key);
                }
            }
            all.deletions.addAll(one.deletions);
            for (String key : all.puts) {
                if (!one.puts.contains(key) && one.deletes(key)) {
                    throw new RuleException("duplicate key in a transaction: " + key);
                }
            }
        }
        return all;
    }

    private Writes writesOf(Operation operation) throws RuleException {
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
            case Operation.Nested nested -> check(nested.transaction());
        };
    }

    private void checkSize(Operation.Put put) throws RuleException {
        if (put.value().length > MAX_VALUE_BYTES) {
            throw new RuleException(
                    "value of " + put.key() + " is too large: " + put.value().length + " bytes");
        }
        mBytes += put.key().length() + put.value().length;
        if (mBytes > MAX_REQUEST_BYTES) {
            throw new RuleException("request is too large: more than " + MAX_REQUEST_BYTES);
        }
    }
}
