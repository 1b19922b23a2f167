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
 * State of the in-memory store: keys, leases and the recent history of changes. Not thread-safe;
 * the owner synchronizes on it. As in the platform's service, all compares of a transaction, nested
 * ones included, are evaluated on the state before it, and its changes share one revision.
 */
final class StoreEngine {
    private static final int HISTORY_LIMIT = 100_000;

    private final Clock mClock;
    private final StoreCallCounters mCounters;
    private final NavigableMap<String, KeyEntry> mKeys = new TreeMap<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final Deque<StoreChange> mHistory = new ArrayDeque<>();
    private long mRevision = 1;
    private long mOldestRevision = 1;
    private long mNextLease = 1000;

    /** A lease with the keys put under it. */
    private static final class Lease {
        private final long mTtlNanos;
        private final Set<String> mKeys = new TreeSet<>();
        private long mExpiresAt;

        private Lease(long ttlNanos, long expiresAt) {
            mTtlNanos = ttlNanos;
            mExpiresAt = expiresAt;
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
        boolean more = false;
        for (KeyEntry entry : mKeys.subMap(from, true, to, false).values()) {
            if (entries.size() == limit) {
                more = true;
                break;
            }
            mCounters.countRead(entry.key(), entry.value());
            entries.add(entry);
        }
        return new KeyRange(entries, more, mRevision);
    }

    KeyRange get(String key) {
        KeyEntry entry = mKeys.get(key);
        if (entry == null) {
            return new KeyRange(List.of(), false, mRevision);
        }
        mCounters.countRead(entry.key(), entry.value());
        return new KeyRange(List.of(entry), false, mRevision);
    }

    /** Runs a transaction that {@link TransactionRules} has accepted. */
    TransactionResult transact(Transaction transaction) {
        Branch branch = evaluate(transaction);
        long next = mRevision + 1;
        TransactionResult result = apply(branch, next);
        if (!mHistory.isEmpty() && mHistory.peekLast().revision() == next) {
            mRevision = next;
        }
        return withRevision(result, mRevision);
    }

    /** Names a lease of the transaction that is not held, or returns 0. */
    long missingLease(List<Operation> operations) {
        for (Operation operation : operations) {
            long missing = 0;
            if (operation instanceof Operation.Put put && put.leaseId() != 0) {
                missing = mLeases.containsKey(put.leaseId()) ? 0 : put.leaseId();
            } else if (operation instanceof Operation.Nested nested) {
                missing = missingLease(chosen(nested.transaction()));
            }
            if (missing != 0) {
                return missing;
            }
        }
        return 0;
    }

    /** The operations that a transaction would run now. */
    List<Operation> chosen(Transaction transaction) {
        boolean holds = transaction.compares().stream().allMatch(this::holds);
        return holds ? transaction.onSuccess() : transaction.onFailure();
    }

    long grant(Duration ttl) {
        long id = mNextLease++;
        mLeases.put(id, new Lease(ttl.toNanos(), mClock.monotonicNanos() + ttl.toNanos()));
        return id;
    }

    /** Extends a lease and returns its time to live, or 0 when it is not held. */
    long keepAlive(long leaseId) {
        Lease lease = mLeases.get(leaseId);
        if (lease == null) {
            return 0;
        }
        lease.mExpiresAt = mClock.monotonicNanos() + lease.mTtlNanos;
        return lease.mTtlNanos;
    }

    /** Time to live of a lease in nanoseconds, or 0 when it is not held. */
    long ttlNanos(long leaseId) {
        Lease lease = mLeases.get(leaseId);
        return lease == null ? 0 : lease.mTtlNanos;
    }

    boolean revoke(long leaseId) {
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
        long now = mClock.monotonicNanos();
        List<Long> expired =
                mLeases.entrySet().stream()
                        .filter(lease -> lease.getValue().mExpiresAt - now <= 0)
                        .map(Map.Entry::getKey)
                        .sorted()
                        .toList();
        expired.forEach(this::revoke);
    }

    /** Changes from a revision on. */
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

    void compact() {
        mHistory.clear();
        mOldestRevision = mRevision + 1;
    }

    /** A transaction with the branches that its compares selected. */
    private record Branch(boolean compared, List<Operation> operations, List<Branch> nested) {}

    private Branch evaluate(Transaction transaction) {
        boolean holds = transaction.compares().stream().allMatch(this::holds);
        List<Operation> operations = holds ? transaction.onSuccess() : transaction.onFailure();
        List<Branch> nested =
                operations.stream()
                        .map(
                                o ->
                                        o instanceof Operation.Nested n
                                                ? evaluate(n.transaction())
                                                : null)
                        .toList();
        return new Branch(holds, operations, nested);
    }

    private TransactionResult apply(Branch branch, long revision) {
        List<OperationResult> results = new ArrayList<>(branch.operations.size());
        for (int i = 0; i < branch.operations.size(); i++) {
            results.add(apply(branch.operations.get(i), branch.nested.get(i), revision));
        }
        return new TransactionResult(branch.compared, results, revision);
    }

    private OperationResult apply(Operation operation, Branch nested, long revision) {
        return switch (operation) {
            case Operation.Put put -> put(put, revision);
            case Operation.Delete delete -> {
                delete(delete.key(), revision);
                yield new OperationResult.Done();
            }
            case Operation.DeleteRange range -> {
                List.copyOf(mKeys.subMap(range.from(), true, range.to(), false).keySet())
                        .forEach(key -> delete(key, revision));
                yield new OperationResult.Done();
            }
            case Operation.Get get -> new OperationResult.Read(get(get.key()));
            case Operation.Nested ignored -> new OperationResult.Nested(apply(nested, revision));
        };
    }

    private OperationResult put(Operation.Put put, long revision) {
        mCounters.countWritten(put.key(), put.value());
        KeyEntry before = mKeys.get(put.key());
        long created = before == null ? revision : before.createRevision();
        if (before != null && before.leaseId() != 0 && mLeases.containsKey(before.leaseId())) {
            mLeases.get(before.leaseId()).mKeys.remove(put.key());
        }
        if (put.leaseId() != 0) {
            mLeases.get(put.leaseId()).mKeys.add(put.key());
        }
        KeyEntry entry =
                new KeyEntry(put.key(), put.value().clone(), created, revision, put.leaseId());
        mKeys.put(put.key(), entry);
        record(new StoreChange(put.key(), revision, entry));
        return new OperationResult.Done();
    }

    private void delete(String key, long revision) {
        KeyEntry before = mKeys.remove(key);
        if (before == null) {
            return;
        }
        Lease lease = mLeases.get(before.leaseId());
        if (lease != null) {
            lease.mKeys.remove(key);
        }
        record(new StoreChange(key, revision, null));
    }

    private void record(StoreChange change) {
        mHistory.addLast(change);
        if (mHistory.size() > HISTORY_LIMIT) {
            mOldestRevision = mHistory.removeFirst().revision() + 1;
        }
    }

    private boolean holds(Compare compare) {
        KeyEntry entry = mKeys.get(compare.key());
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
        return new TransactionResult(result.compared(), results, revision);
    }

    static boolean matches(String prefix, String key) {
        return key.compareTo(prefix) >= 0 && key.compareTo(KeyPrefix.end(prefix)) < 0;
    }
}
