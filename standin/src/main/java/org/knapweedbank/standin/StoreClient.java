package org.knapweedbank.standin;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.knapweedbank.store.KeyPrefix;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.StoreWatch;
import org.knapweedbank.store.Transaction;
import org.knapweedbank.store.TransactionResult;
import org.knapweedbank.store.WatchListener;

/**
 * One client of an {@link InMemoryStore}. It has faults of its own, in addition to those of the
 * store. Several clients of one store represent several daemons. Thread-safe.
 */
public final class StoreClient implements KeyValueStore {
    private final InMemoryStore mStore;
    private final StoreFaults mFaults;

    StoreClient(InMemoryStore store, StoreFaults faults) {
        mStore = store;
        mFaults = faults;
    }

    /**
     * Returns the fault settings of this client.
     *
     * @return the fault settings
     */
    public StoreFaults faults() {
        return mFaults;
    }

    @Override
    public Uni<StoreResult<KeyRange>> get(String key) {
        return execute(StoreCallKind.READ, () -> succeeded(mStore.engine().get(key)));
    }

    @Override
    public Uni<StoreResult<KeyRange>> range(String prefix, int limit) {
        return rangeFrom(prefix, prefix, limit);
    }

    @Override
    public Uni<StoreResult<KeyRange>> rangeFrom(String prefix, String from, int limit) {
        return rangeBetween(from, KeyPrefix.rangeEnd(prefix), limit);
    }

    Uni<StoreResult<KeyRange>> rangeBetween(String from, String to, int limit) {
        return execute(StoreCallKind.READ, () -> succeeded(mStore.engine().range(from, to, limit)));
    }

    @Override
    public Uni<StoreResult<TransactionResult>> transact(Transaction transaction) {
        boolean writes = transaction.mayWrite();
        return execute(
                writes ? StoreCallKind.WRITE : StoreCallKind.READ, () -> transactNow(transaction));
    }

    @Override
    public Uni<StoreResult<Long>> grantLease(Duration ttl) {
        return execute(StoreCallKind.LEASE_GRANT, () -> succeeded(mStore.engine().grantLease(ttl)));
    }

    @Override
    public Uni<StoreResult<Boolean>> keepAlive(long leaseId) {
        return execute(
                StoreCallKind.KEEP_ALIVE, () -> succeeded(mStore.engine().renewLease(leaseId) > 0));
    }

    @Override
    public Uni<StoreResult<Boolean>> revoke(long leaseId) {
        return execute(StoreCallKind.REVOKE, () -> succeeded(mStore.engine().revokeLease(leaseId)));
    }

    @Override
    public StoreWatch watch(String prefix, long fromRevision, WatchListener listener) {
        return mStore.watch(this, prefix, fromRevision, listener);
    }

    @Override
    public void close() {
        mStore.closeWatches(this);
    }

    boolean isDown() {
        return mFaults.isDown() || mStore.faults().isDown();
    }

    private StoreResult<TransactionResult> transactNow(Transaction transaction) {
        Optional<String> violation = TransactionValidator.findViolation(transaction);
        if (violation.isPresent()) {
            return new StoreResult.Rejected<>(violation.get());
        }
        StoreEngine engine = mStore.engine();
        long missingLeaseId = engine.findMissingLease(engine.selectOperations(transaction));
        if (missingLeaseId != 0) {
            return new StoreResult.Rejected<>("requested lease not found: " + missingLeaseId);
        }
        return succeeded(engine.transact(transaction));
    }

    private static <T> StoreResult<T> succeeded(T value) {
        return new StoreResult.Succeeded<>(value);
    }

    private <T> Uni<StoreResult<T>> execute(
            StoreCallKind kind, Supplier<StoreResult<T>> operation) {
        return Uni.createFrom().emitter(emitter -> executeNow(kind, operation, emitter));
    }

    private <T> void executeNow(
            StoreCallKind kind,
            Supplier<StoreResult<T>> operation,
            UniEmitter<? super StoreResult<T>> emitter) {
        if (isDown()) {
            emitter.complete(new StoreResult.Unavailable<>("store is down"));
            return;
        }
        Optional<AnswerLoss> loss = mFaults.pollLoss(kind).or(() -> mStore.faults().pollLoss(kind));
        Optional<StoreResult<T>> result = Optional.empty();
        if (loss.isEmpty() || loss.get() == AnswerLoss.AFTER_EFFECT) {
            result = Optional.of(mStore.execute(kind, operation));
        }
        if (loss.isPresent() && loss.get() == AnswerLoss.LATE_EFFECT) {
            mStore.delayCall(() -> mStore.execute(kind, operation));
        }
        StoreResult<T> response = loss.isPresent() ? lostResponse(kind) : result.orElseThrow();
        Duration delay = max(mFaults.delay(), mStore.faults().delay());
        if (delay.isZero()) {
            emitter.complete(response);
        } else {
            mStore.delayResponse(delay, () -> emitter.complete(response));
        }
    }

    private static <T> StoreResult<T> lostResponse(StoreCallKind kind) {
        String reason = "answer lost";
        return kind == StoreCallKind.READ
                ? new StoreResult.Unavailable<>(reason)
                : new StoreResult.Unknown<>(reason);
    }

    private static Duration max(Duration first, Duration second) {
        return first.compareTo(second) >= 0 ? first : second;
    }
}
