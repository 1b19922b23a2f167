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
 * One client of an {@link InMemoryStore}, with its own faults in addition to those of the store.
 * Several clients on one store stand for several daemons. Thread-safe.
 */
public final class StoreClient implements KeyValueStore {
    private final InMemoryStore mStore;
    private final StoreFaults mFaults;

    StoreClient(InMemoryStore store, StoreFaults faults) {
        mStore = store;
        mFaults = faults;
    }

    /**
     * The switch for the faults of this client.
     *
     * @return the switch
     */
    public StoreFaults faults() {
        return mFaults;
    }

    @Override
    public Uni<StoreResult<KeyRange>> get(String key) {
        return call(StoreCallKind.READ, () -> succeeded(mStore.engine().get(key)));
    }

    @Override
    public Uni<StoreResult<KeyRange>> range(String prefix, int limit) {
        return rangeFrom(prefix, prefix, limit);
    }

    @Override
    public Uni<StoreResult<KeyRange>> rangeFrom(String prefix, String from, int limit) {
        return rangeBetween(from, KeyPrefix.end(prefix), limit);
    }

    Uni<StoreResult<KeyRange>> rangeBetween(String from, String to, int limit) {
        return call(StoreCallKind.READ, () -> succeeded(mStore.engine().range(from, to, limit)));
    }

    @Override
    public Uni<StoreResult<TransactionResult>> transact(Transaction transaction) {
        boolean writes = transaction.writes();
        return call(
                writes ? StoreCallKind.WRITE : StoreCallKind.READ, () -> transactNow(transaction));
    }

    @Override
    public Uni<StoreResult<Long>> grantLease(Duration ttl) {
        return call(StoreCallKind.LEASE_GRANT, () -> succeeded(mStore.engine().grant(ttl)));
    }

    @Override
    public Uni<StoreResult<Boolean>> keepAlive(long leaseId) {
        return call(
                StoreCallKind.KEEP_ALIVE, () -> succeeded(mStore.engine().keepAlive(leaseId) > 0));
    }

    @Override
    public Uni<StoreResult<Boolean>> revoke(long leaseId) {
        return call(StoreCallKind.REVOKE, () -> succeeded(mStore.engine().revoke(leaseId)));
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
        Optional<String> violation = TransactionRules.violation(transaction);
        if (violation.isPresent()) {
            return new StoreResult.Rejected<>(violation.get());
        }
        StoreEngine engine = mStore.engine();
        long missing = engine.missingLease(engine.chosen(transaction));
        if (missing != 0) {
            return new StoreResult.Rejected<>("requested lease not found: " + missing);
        }
        return succeeded(engine.transact(transaction));
    }

    private static <T> StoreResult<T> succeeded(T value) {
        return new StoreResult.Succeeded<>(value);
    }

    private <T> Uni<StoreResult<T>> call(StoreCallKind kind, Supplier<StoreResult<T>> effect) {
        return Uni.createFrom().emitter(emitter -> callNow(kind, effect, emitter));
    }

    private <T> void callNow(
            StoreCallKind kind,
            Supplier<StoreResult<T>> effect,
            UniEmitter<? super StoreResult<T>> emitter) {
        if (isDown()) {
            emitter.complete(new StoreResult.Unavailable<>("store is down"));
            return;
        }
        Optional<AnswerLoss> loss = mFaults.takeLoss(kind).or(() -> mStore.faults().takeLoss(kind));
        Optional<StoreResult<T>> done = Optional.empty();
        if (loss.isEmpty() || loss.get() == AnswerLoss.AFTER_EFFECT) {
            done = Optional.of(mStore.run(kind, effect));
        }
        if (loss.isPresent() && loss.get() == AnswerLoss.LATE_EFFECT) {
            mStore.holdUp(() -> mStore.run(kind, effect));
        }
        StoreResult<T> answer = loss.isPresent() ? lost(kind) : done.orElseThrow();
        Duration delay = longer(mFaults.delay(), mStore.faults().delay());
        if (delay.isZero()) {
            emitter.complete(answer);
        } else {
            mStore.later(delay, () -> emitter.complete(answer));
        }
    }

    private static <T> StoreResult<T> lost(StoreCallKind kind) {
        String reason = "answer lost";
        return kind == StoreCallKind.READ
                ? new StoreResult.Unavailable<>(reason)
                : new StoreResult.Unknown<>(reason);
    }

    private static Duration longer(Duration first, Duration second) {
        return first.compareTo(second) >= 0 ? first : second;
    }
}
