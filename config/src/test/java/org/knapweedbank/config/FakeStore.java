package org.knapweedbank.config;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.knapweedbank.store.Compare;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.OperationResult;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.StoreWatch;
import org.knapweedbank.store.Transaction;
import org.knapweedbank.store.TransactionResult;
import org.knapweedbank.store.WatchListener;

/** In-memory store with injectable transaction faults; does not support leases and watches. */
final class FakeStore implements KeyValueStore {
    /** Fault injected into one transaction. */
    enum Fault {
        NONE,
        ANSWER_LOST,
        REQUEST_LOST,
        REQUEST_DELAYED,
        DOWN
    }

    private final NavigableMap<String, KeyEntry> mEntries = new TreeMap<>();
    private final Deque<Fault> mFaults = new ArrayDeque<>();
    private final List<Transaction> mDelayedTransactions = new ArrayList<>();
    private Runnable mBeforeNextTransaction = () -> {};
    private boolean mFailReads;
    private long mRevision;
    private int mTransactionCount;

    void failNextTransactions(Fault... faults) {
        mFaults.addAll(Arrays.asList(faults));
    }

    void setFailReads(boolean failReads) {
        mFailReads = failReads;
    }

    /** Sets an action that runs once before the next transaction, after the head was read. */
    void runBeforeNextTransaction(Runnable action) {
        mBeforeNextTransaction = action;
    }

    void deliverDelayed() {
        mDelayedTransactions.forEach(this::run);
        mDelayedTransactions.clear();
    }

    void clearFaults() {
        mFaults.clear();
    }

    int transactionCount() {
        return mTransactionCount;
    }

    List<String> keys(String prefix) {
        return mEntries.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    KeyEntry entry(String key) {
        return mEntries.get(key);
    }

    void put(String key, byte[] value) {
        mRevision++;
        long created = mEntries.containsKey(key) ? mEntries.get(key).createRevision() : mRevision;
        mEntries.put(key, new KeyEntry(key, value, created, mRevision, 0));
    }

    @Override
    public Uni<StoreResult<KeyRange>> get(String key) {
        return read(entriesOf(key), 1);
    }

    @Override
    public Uni<StoreResult<KeyRange>> range(String prefix, int limit) {
        return rangeFrom(prefix, prefix, limit);
    }

    @Override
    public Uni<StoreResult<KeyRange>> rangeFrom(String prefix, String from, int limit) {
        List<KeyEntry> entries =
                mEntries.tailMap(from, true).values().stream()
                        .filter(entry -> entry.key().startsWith(prefix))
                        .toList();
        return read(entries, limit);
    }

    @Override
    public Uni<StoreResult<TransactionResult>> transact(Transaction transaction) {
        Runnable action = mBeforeNextTransaction;
        mBeforeNextTransaction = () -> {};
        action.run();
        mTransactionCount++;
        Fault fault = mFaults.isEmpty() ? Fault.NONE : mFaults.poll();
        return Uni.createFrom().item(transact(transaction, fault));
    }

    private StoreResult<TransactionResult> transact(Transaction transaction, Fault fault) {
        return switch (fault) {
            case NONE -> new StoreResult.Succeeded<>(run(transaction));
            case ANSWER_LOST -> {
                run(transaction);
                yield new StoreResult.Unknown<>("answer lost");
            }
            case REQUEST_LOST -> new StoreResult.Unknown<>("request lost");
            case REQUEST_DELAYED -> {
                mDelayedTransactions.add(transaction);
                yield new StoreResult.Unknown<>("request delayed");
            }
            case DOWN -> new StoreResult.Unavailable<>("store down");
        };
    }

    private TransactionResult run(Transaction transaction) {
        boolean conditionsHold = transaction.compares().stream().allMatch(this::isSatisfied);
        List<OperationResult> results = new ArrayList<>();
        for (Operation operation :
                conditionsHold ? transaction.onSuccess() : transaction.onFailure()) {
            results.add(run(operation));
        }
        return new TransactionResult(conditionsHold, results, mRevision);
    }

    private OperationResult run(Operation operation) {
        switch (operation) {
            case Operation.Put put -> put(put.key(), put.value());
            case Operation.Delete delete -> mEntries.remove(delete.key());
            case Operation.Get get -> {
                return new OperationResult.Read(
                        new KeyRange(entriesOf(get.key()), false, mRevision));
            }
            default -> throw new UnsupportedOperationException(operation.toString());
        }
        return new OperationResult.Done();
    }

    private boolean isSatisfied(Compare compare) {
        return switch (compare) {
            case Compare.Absent absent -> !mEntries.containsKey(absent.key());
            case Compare.ModifiedAt at ->
                    mEntries.containsKey(at.key())
                            && mEntries.get(at.key()).modRevision() == at.revision();
            default -> throw new UnsupportedOperationException(compare.toString());
        };
    }

    private List<KeyEntry> entriesOf(String key) {
        return mEntries.containsKey(key) ? List.of(mEntries.get(key)) : List.of();
    }

    private Uni<StoreResult<KeyRange>> read(List<KeyEntry> entries, int limit) {
        if (mFailReads) {
            return Uni.createFrom().item(new StoreResult.Unavailable<>("store down"));
        }
        List<KeyEntry> limited = entries.stream().limit(limit).toList();
        KeyRange range = new KeyRange(limited, entries.size() > limit, mRevision);
        return Uni.createFrom().item(new StoreResult.Succeeded<>(range));
    }

    @Override
    public Uni<StoreResult<Long>> grantLease(Duration ttl) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Uni<StoreResult<Boolean>> keepAlive(long leaseId) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Uni<StoreResult<Boolean>> revoke(long leaseId) {
        throw new UnsupportedOperationException();
    }

    @Override
    public StoreWatch watch(String prefix, long fromRevision, WatchListener listener) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void close() {}
}
