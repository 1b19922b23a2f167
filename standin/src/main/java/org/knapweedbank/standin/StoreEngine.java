package org.knapweedbank.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.knapweedbank.store.Compare;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.KeyPrefix;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.OperationResult;
import org.knapweedbank.store.Transaction;
import org.knapweedbank.store.TransactionResult;
import org.knapweedbank.time.Clock;

/**
 * State of an {@link InMemoryStore}: entries, leases and the recent history of changes. Not
 * thread-safe; the store synchronizes all calls. As in the platform's key-value service, all
 * compares of a transaction, including those of nested transactions, are evaluated on the state
 * before the transaction, and all its changes share one revision.
 */
final class StoreEngine {
    private static final int MAX_HISTORY_CHANGES = 100_000;

    private final Clock mClock;
    private final StoreCallCounters mCounters;
    private final NavigableMap<String, KeyEntry> mEntries = new TreeMap<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final Deque<StoreChange> mHistory = new ArrayDeque<>();
    private long mRevision = 1;
    private long mOldestRevision = 1;
    private long mNextLeaseId = 1000;

    /** A lease and the keys that are attached to it. */
    private static final class Lease {
        private final long mTtlNanos;
        private final Set<String> mKeys = new TreeSet<>();
        private long mExpiryNanos;

        private Lease(long ttlNanos, long expiryNanos) {
            mTtlNanos = ttlNanos;
            mExpiryNanos = expiryNanos;
        }
    }

    StoreEngine(Clock clock, StoreCallCounters counters) {
        mClock = clock;
        mCounters = counters;
    }

    long revision() {
        return mRevision;
    }

    long oldestRevision() {
        return mOldestRevision;
    }

    KeyRange range(String from, String to, int limit) {
        List<KeyEntry> entries = new ArrayList<>();
        boolean hasMore = false;
        for (KeyEntry entry : mEntries.subMap(from, true, to, false).values()) {
            if (entries.size() == limit) {
                hasMore = true;
                break;
            }
            mCounters.countRead(entry.key(), entry.value());
            entries.add(entry);
        }
        return new KeyRange(entries, hasMore, mRevision);
    }

    KeyRange get(String key) {
        KeyEntry entry = mEntries.get(key);
        if (entry == null) {
            return new KeyRange(List.of(), false, mRevision);
        }
        mCounters.countRead(entry.key(), entry.value());
        return new KeyRange(List.of(entry), false, mRevision);
    }

    /**
     * Executes a transaction that {@link TransactionValidator} has accepted and whose leases are
     * all held.
     */
    TransactionResult transact(Transaction transaction) {
        EvaluatedTransaction evaluated = evaluate(transaction);
        long nextRevision = mRevision + 1;
        TransactionResult result = apply(evaluated, nextRevision);
        if (!mHistory.isEmpty() && mHistory.peekLast().revision() == nextRevision) {
            mRevision = nextRevision;
        }
        return withRevision(result, mRevision);
    }

    /** Returns the id of the first lease in the operations that is not held, or 0 if all are. */
    long findMissingLease(List<Operation> operations) {
        for (Operation operation : operations) {
            long missingLeaseId = 0;
            if (operation instanceof Operation.Put put && put.leaseId() != 0) {
                missingLeaseId = mLeases.containsKey(put.leaseId()) ? 0 : put.leaseId();
            } else if (operation instanceof Operation.Nested nested) {
                missingLeaseId = findMissingLease(selectOperations(nested.transaction()));
            }
            if (missingLeaseId != 0) {
                return missingLeaseId;
            }
        }
        return 0;
    }

    /** Returns the operations that a transaction would execute on the present state. */
    List<Operation> selectOperations(Transaction transaction) {
        boolean conditionsHold = transaction.compares().stream().allMatch(this::isSatisfied);
        return conditionsHold ? transaction.onSuccess() : transaction.onFailure();
    }

    long grantLease(Duration ttl) {
        long id = mNextLeaseId++;
        mLeases.put(id, new Lease(ttl.toNanos(), mClock.monotonicNanos() + ttl.toNanos()));
        return id;
    }

    /** Renews a lease and returns its time to live in nanoseconds, or 0 if it is not held. */
    long renewLease(long leaseId) {
        Lease lease = mLeases.get(leaseId);
        if (lease == null) {
            return 0;
        }
        lease.mExpiryNanos = mClock.monotonicNanos() + lease.mTtlNanos;
        return lease.mTtlNanos;
    }

    /** Returns the granted time to live of a lease in nanoseconds, or 0 if it is not held. */
    long ttlNanos(long leaseId) {
        Lease lease = mLeases.get(leaseId);
        return lease == null ? 0 : lease.mTtlNanos;
    }

    /** Ends a lease and deletes its keys; returns false if the lease is not held. */
    boolean revokeLease(long leaseId) {
        Lease lease = mLeases.remove(leaseId);
        if (lease == null) {
            return false;
        }
        if (!lease.mKeys.isEmpty()) {
            mRevision++;
            List.copyOf(lease.mKeys).forEach(key -> delete(key, mRevision));
        }
        return true;
    }

    void expireLeases() {
        long nowNanos = mClock.monotonicNanos();
        List<Long> expired =
                mLeases.entrySet().stream()
                        .filter(lease -> lease.getValue().mExpiryNanos - nowNanos <= 0)
                        .map(Map.Entry::getKey)
                        .sorted()
                        .toList();
        expired.forEach(this::revokeLease);
    }

    /** Returns the recorded changes from a revision on, oldest first. */
    List<StoreChange> changesFrom(long revision) {
        List<StoreChange> changes = new ArrayList<>();
        Iterator<StoreChange> newestFirst = mHistory.descendingIterator();
        while (newestFirst.hasNext()) {
            StoreChange change = newestFirst.next();
            if (change.revision() < revision) {
                break;
            }
            changes.add(change);
        }
        return changes.reversed();
    }

    /** Drops the recorded changes. */
    void compact() {
        mHistory.clear();
        mOldestRevision = mRevision + 1;
    }

    /**
     * A transaction whose compares have been evaluated.
     *
     * @param compared true if all compares hold
     * @param operations operations that the compares selected
     * @param nested evaluated nested transaction of each operation, or null for other operations
     */
    private record EvaluatedTransaction(
            boolean compared, List<Operation> operations, List<EvaluatedTransaction> nested) {}

    /** Evaluates the compares of a transaction and of its selected nested transactions. */
    private EvaluatedTransaction evaluate(Transaction transaction) {
        boolean conditionsHold = transaction.compares().stream().allMatch(this::isSatisfied);
        List<Operation> operations =
                conditionsHold ? transaction.onSuccess() : transaction.onFailure();
        List<EvaluatedTransaction> nested =
                operations.stream()
                        .map(
                                o ->
                                        o instanceof Operation.Nested n
                                                ? evaluate(n.transaction())
                                                : null)
                        .toList();
        return new EvaluatedTransaction(conditionsHold, operations, nested);
    }

    private TransactionResult apply(EvaluatedTransaction evaluated, long revision) {
        List<OperationResult> results = new ArrayList<>(evaluated.operations.size());
        for (int i = 0; i < evaluated.operations.size(); i++) {
            results.add(apply(evaluated.operations.get(i), evaluated.nested.get(i), revision));
        }
        return new TransactionResult(evaluated.compared, results, revision);
    }

    private OperationResult apply(Operation operation, EvaluatedTransaction nested, long revision) {
        return switch (operation) {
            case Operation.Put put -> put(put, revision);
            case Operation.Delete delete -> {
                delete(delete.key(), revision);
                yield new OperationResult.Done();
            }
            case Operation.DeleteRange range -> {
                List.copyOf(mEntries.subMap(range.from(), true, range.to(), false).keySet())
                        .forEach(key -> delete(key, revision));
                yield new OperationResult.Done();
            }
            case Operation.Get get -> new OperationResult.Read(get(get.key()));
            case Operation.Nested ignored -> new OperationResult.Nested(apply(nested, revision));
        };
    }

    private OperationResult put(Operation.Put put, long revision) {
        mCounters.countWritten(put.key(), put.value());
        KeyEntry previous = mEntries.get(put.key());
        long createRevision = previous == null ? revision : previous.createRevision();
        if (previous != null
                && previous.leaseId() != 0
                && mLeases.containsKey(previous.leaseId())) {
            mLeases.get(previous.leaseId()).mKeys.remove(put.key());
        }
        if (put.leaseId() != 0) {
            mLeases.get(put.leaseId()).mKeys.add(put.key());
        }
        KeyEntry entry =
                new KeyEntry(
                        put.key(), put.value().clone(), createRevision, revision, put.leaseId());
        mEntries.put(put.key(), entry);
        appendToHistory(new StoreChange(put.key(), revision, entry));
        return new OperationResult.Done();
    }

    private void delete(String key, long revision) {
        KeyEntry previous = mEntries.remove(key);
        if (previous == null) {
            return;
        }
        Lease lease = mLeases.get(previous.leaseId());
        if (lease != null) {
            lease.mKeys.remove(key);
        }
        appendToHistory(new StoreChange(key, revision, null));
    }

    private void appendToHistory(StoreChange change) {
        mHistory.addLast(change);
        if (mHistory.size() > MAX_HISTORY_CHANGES) {
            mOldestRevision = mHistory.removeFirst().revision() + 1;
        }
    }

    private boolean isSatisfied(Compare compare) {
        KeyEntry entry = mEntries.get(compare.key());
        return switch (compare) {
            case Compare.Absent ignored -> entry == null;
            case Compare.ModifiedAt modified ->
                    (entry == null ? 0 : entry.modRevision()) == modified.revision();
            case Compare.CreatedAt created ->
                    (entry == null ? 0 : entry.createRevision()) == created.revision();
            case Compare.ValueEquals value ->
                    entry != null && Arrays.equals(entry.value(), value.value());
        };
    }

    /** Replaces the revision in a result and in its nested results. */
    private static TransactionResult withRevision(TransactionResult result, long revision) {
        List<OperationResult> results =
                result.results().stream()
                        .map(
                                r ->
                                        r instanceof OperationResult.Nested n
                                                ? new OperationResult.Nested(
                                                        withRevision(n.result(), revision))
                                                : r)
                        .toList();
        return new TransactionResult(result.conditionsHeld(), results, revision);
    }

    static boolean hasPrefix(String prefix, String key) {
        return key.compareTo(prefix) >= 0 && key.compareTo(KeyPrefix.rangeEnd(prefix)) < 0;
    }
}
