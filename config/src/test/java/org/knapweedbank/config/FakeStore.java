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

/** In-memory store whose transactions fail as the test says; without leases and watches. */
final class FakeStore implements KeyValueStore {
    /** Fate of one transaction. */
    enum Fault {
        NONE,
        ANSWER_LOST,
        REQUEST_LOST,
        REQUEST_DELAYED,
        DOWN
    }

    private final NavigableMap<String, KeyEntry> mKeys = new TreeMap<>();
    private final Deque<Fault> mFaults = new ArrayDeque<>();
    private final List<Transaction> mDelayed = new ArrayList<>();
    private Runnable mBeforeTransaction = () -> {};
    private boolean mReadsFail;
    private long mRevision;
    private int mTransactions;

    void fail(Fault... faults) {
        mFaults.addAll(Arrays.asList(faults));
    }

    void readsFail(boolean fail) {
        mReadsFail = fail;
    }

    /** Runs once, between a change's read and its transaction. */
    void beforeTransaction(Runnable action) {
        mBeforeTransaction = action;
    }

    void deliverDelayed() {
        mDelayed.forEach(this::run);
        mDelayed.clear();
    }

    void clearFaults() {
        mFaults.clear();
    }

    int transactions() {
        return mTransactions;
    }

    List<String> keys(String prefix) {
        return mKeys.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    KeyEntry entry(String key) {
        return mKeys.get(key);
    }

    void put(String key, byte[] value) {
        mRevision++;
        long created = mKeys.containsKey(key) ? mKeys.get(key).createRevision() : mRevision;
        mKeys.put(key, new KeyEntry(key, value, created, mRevision, 0));
    }

    @Override
    public Uni<StoreResult<KeyRange>> get(String key) {
        return read(keysOf(key), 1);
    }

    @Override
    public Uni<StoreResult<KeyRange>> range(String prefix, int limit) {
        return rangeFrom(prefix, prefix, limit);
    }

    @Override
    public Uni<StoreResult<KeyRange>> rangeFrom(String prefix, String from, int limit) {
        List<KeyEntry> entries =
                mKeys.tailMap(from, true).values().stream()
                        .filter(entry -> entry.key().startsWith(prefix))
                        .toList();
        return read(entries, limit);
    }

    @Override
    public Uni<StoreResult<TransactionResult>> transact(Transaction transaction) {
        Runnable before = mBeforeTransaction;
        mBeforeTransaction = () -> {};
        before.run();
        mTransactions++;
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
                mDelayed.add(transaction);
                yield new StoreResult.Unknown<>("request delayed");
            }
            case DOWN -> new StoreResult.Unavailable<>("store down");
        };
    }

    private TransactionResult run(Transaction transaction) {
        boolean holds = transaction.compares().stream().allMatch(this::holds);
        List<OperationResult> results = new ArrayList<>();
        for (Operation operation : holds ? transaction.onSuccess() : transaction.onFailure()) {
            results.add(run(operation));
        }
        return new TransactionResult(holds, results, mRevision);
    }

    private OperationResult run(Operation operation) {
        switch (operation) {
            case Operation.Put put -> put(put.key(), put.value());
            case Operation.Delete delete -> mKeys.remove(delete.key());
            case Operation.Get get -> {
                return new OperationResult.Read(new KeyRange(keysOf(get.key()), false, mRevision));
            }
            default -> throw new UnsupportedOperationException(operation.toString());
        }
        return new OperationResult.Done();
    }

    private boolean holds(Compare compare) {
        return switch (compare) {
            case Compare.Absent absent -> !mKeys.containsKey(absent.key());
            case Compare.ModifiedAt at ->
                    mKeys.containsKey(at.key())
                            && mKeys.get(at.key()).modRevision() == at.revision();
            default -> throw new UnsupportedOperationException(compare.toString());
        };
    }

    private List<KeyEntry> keysOf(String key) {
        return mKeys.containsKey(key) ? List.of(mKeys.get(key)) : List.of();
    }

    private Uni<StoreResult<KeyRange>> read(List<KeyEntry> entries, int limit) {
        if (mReadsFail) {
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
