package org.knapweedbank.node.entry;

import java.time.Duration;
import java.util.function.Consumer;
import org.knapweedbank.node.Timers;
import org.knapweedbank.node.store.CoordinationStore;
import org.knapweedbank.node.store.LeaseOutcome;
import org.knapweedbank.node.store.ReadOutcome;
import org.knapweedbank.node.store.StoreChange;
import org.knapweedbank.node.store.WatchOutcome;
import org.knapweedbank.node.store.WriteOutcome;

/** One process's way to the store, which can be cut for good. Calls then get no answer. */
final class SeverableStore implements CoordinationStore {
    private static final Duration TIMEOUT = Duration.ofMillis(1_500);

    private final CoordinationStore mStore;
    private final Timers mTimers;
    private boolean mCut;

    SeverableStore(CoordinationStore store, Timers timers) {
        mStore = store;
        mTimers = timers;
    }

    void cut() {
        mCut = true;
    }

    @Override
    public void read(String prefix, boolean allowStale, Consumer<ReadOutcome> done) {
        if (mCut) {
            mTimers.after(TIMEOUT, () -> done.accept(new ReadOutcome.Unavailable("cut")));
        } else {
            mStore.read(prefix, allowStale, done);
        }
    }

    @Override
    public void watch(
            String prefix, long afterRevision, Duration maxWait, Consumer<WatchOutcome> done) {
        if (mCut) {
            mTimers.after(TIMEOUT, () -> done.accept(new WatchOutcome.Unavailable("cut")));
        } else {
            mStore.watch(prefix, afterRevision, maxWait, done);
        }
    }

    @Override
    public void write(StoreChange change, Consumer<WriteOutcome> done) {
        if (mCut) {
            mTimers.after(TIMEOUT, () -> done.accept(new WriteOutcome.Unknown("cut")));
        } else {
            mStore.write(change, done);
        }
    }

    @Override
    public void openLease(Duration ttl, Consumer<LeaseOutcome> done) {
        mStore.openLease(ttl, done);
    }

    @Override
    public void renewLease(long lease, Consumer<LeaseOutcome> done) {
        mStore.renewLease(lease, done);
    }

    @Override
    public void endLease(long lease, Consumer<LeaseOutcome> done) {
        mStore.endLease(lease, done);
    }
}
