package org.knapweedbank.faults;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.StoreWatch;
import org.knapweedbank.store.Transaction;
import org.knapweedbank.store.TransactionResult;
import org.knapweedbank.store.WatchListener;

/**
 * Gives a simulated process access to a store. Results and watch events are deferred while the
 * process is paused and dropped once it is killed.
 */
public record ProcessStore(KeyValueStore store, SimProcess process) implements KeyValueStore {
    /** Returns a call whose result is delivered by the process. */
    private <T> Uni<T> deliverThroughProcess(Uni<T> call) {
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                call.subscribe()
                                        .with(
                                                result ->
                                                        process.execute(
                                                                () -> emitter.complete(result))));
    }

    @Override
    public Uni<StoreResult<KeyRange>> get(String key) {
        return deliverThroughProcess(store.get(key));
    }

    @Override
    public Uni<StoreResult<KeyRange>> range(String prefix, int limit) {
        return deliverThroughProcess(store.range(prefix, limit));
    }

    @Override
    public Uni<StoreResult<KeyRange>> rangeFrom(String prefix, String from, int limit) {
        return deliverThroughProcess(store.rangeFrom(prefix, from, limit));
    }

    @Override
    public Uni<StoreResult<TransactionResult>> transact(Transaction transaction) {
        return deliverThroughProcess(store.transact(transaction));
    }

    @Override
    public Uni<StoreResult<Long>> grantLease(Duration ttl) {
        return deliverThroughProcess(store.grantLease(ttl));
    }

    @Override
    public Uni<StoreResult<Boolean>> keepAlive(long leaseId) {
        return deliverThroughProcess(store.keepAlive(leaseId));
    }

    @Override
    public Uni<StoreResult<Boolean>> revoke(long leaseId) {
        return deliverThroughProcess(store.revoke(leaseId));
    }

    @Override
    public StoreWatch watch(String prefix, long fromRevision, WatchListener listener) {
        return store.watch(prefix, fromRevision, new ProcessWatchListener(process, listener));
    }

    @Override
    public void close() {}

    /** Forwards watch events through the process. */
    private record ProcessWatchListener(SimProcess process, WatchListener listener)
            implements WatchListener {
        @Override
        public void put(KeyEntry entry) {
            process.execute(() -> listener.put(entry));
        }

        @Override
        public void deleted(String key, long revision) {
            process.execute(() -> listener.deleted(key, revision));
        }

        @Override
        public void interrupted(String reason) {
            process.execute(() -> listener.interrupted(reason));
        }

        @Override
        public void connected() {
            process.execute(listener::connected);
        }

        @Override
        public void compacted(long revision) {
            process.execute(() -> listener.compacted(revision));
        }
    }
}
