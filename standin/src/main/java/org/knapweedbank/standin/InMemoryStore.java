package org.knapweedbank.standin;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Supplier;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.StoreWatch;
import org.knapweedbank.store.Transaction;
import org.knapweedbank.store.TransactionResult;
import org.knapweedbank.store.WatchListener;
import org.knapweedbank.time.Clock;

/**
 * Key-value store in memory, with the limits and the semantics of the platform's service. Answers
 * are given on the calling thread, unless they are delayed; then {@link #tick()} gives them. Leases
 * expire on each call and on {@link #tick()}. Thread-safe.
 */
public final class InMemoryStore implements KeyValueStore {
    private final Clock mClock;
    private final StoreCallCounters mCounters = new StoreCallCounters();
    private final StoreFaults mFaults = new StoreFaults();
    private final StoreEngine mEngine;
    private final StoreClient mClient;
    private final List<InMemoryWatch> mWatches = new ArrayList<>();
    private final Deque<Runnable> mReports = new ArrayDeque<>();
    private final PriorityQueue<Delayed> mDelayed =
            new PriorityQueue<>(
                    Comparator.comparingLong(Delayed::dueNanos).thenComparingLong(Delayed::order));
    private final List<Runnable> mHeldUp = new ArrayList<>();
    private long mOrder;
    private boolean mReporting;

    /** An answer that is held back. */
    private record Delayed(long dueNanos, long order, Runnable answer) {}

    /**
     * Creates an empty store at revision 1.
     *
     * @param clock measures leases and delays
     */
    public InMemoryStore(Clock clock) {
        mClock = clock;
        mEngine = new StoreEngine(clock, mCounters);
        mClient = new StoreClient(this, new StoreFaults());
        mFaults.onDownChanged(this::refreshWatches);
    }

    /**
     * Creates a further client with its own faults.
     *
     * @return the client
     */
    public StoreClient client() {
        StoreFaults faults = new StoreFaults();
        faults.onDownChanged(this::refreshWatches);
        return new StoreClient(this, faults);
    }

    /**
     * The switch for faults of the store, which affect all its clients.
     *
     * @return the switch
     */
    public StoreFaults faults() {
        return mFaults;
    }

    /**
     * Counters of all calls that reached the store.
     *
     * @return the counters
     */
    public StoreCallCounters counters() {
        return mCounters;
    }

    /** Expires leases and gives the delayed answers that are due. */
    public void tick() {
        synchronized (this) {
            mEngine.expireLeases();
            collectReports();
        }
        while (true) {
            Delayed next;
            synchronized (this) {
                next = mDelayed.peek();
                if (next == null || next.dueNanos - mClock.monotonicNanos() > 0) {
                    break;
                }
                mDelayed.poll();
            }
            next.answer.run();
        }
        report();
    }

    /** Lets the calls take effect that {@link AnswerLoss#LATE_EFFECT} has held up. */
    public void deliverLate() {
        List<Runnable> late;
        synchronized (this) {
            late = List.copyOf(mHeldUp);
            mHeldUp.clear();
        }
        late.forEach(Runnable::run);
    }

    /** Drops the history of changes, so that watches that are behind lose events. */
    public synchronized void compact() {
        mEngine.compact();
    }

    /**
     * Current revision.
     *
     * @return the revision
     */
    public synchronized long revision() {
        return mEngine.revision();
    }

    @Override
    public Uni<StoreResult<KeyRange>> get(String key) {
        return mClient.get(key);
    }

    @Override
    public Uni<StoreResult<KeyRange>> range(String prefix, int limit) {
        return mClient.range(prefix, limit);
    }

    @Override
    public Uni<StoreResult<KeyRange>> rangeFrom(String prefix, String from, int limit) {
        return mClient.rangeFrom(prefix, from, limit);
    }

    @Override
    public Uni<StoreResult<TransactionResult>> transact(Transaction transaction) {
        return mClient.transact(transaction);
    }

    @Override
    public Uni<StoreResult<Long>> grantLease(Duration ttl) {
        return mClient.grantLease(ttl);
    }

    @Override
    public Uni<StoreResult<Boolean>> keepAlive(long leaseId) {
        return mClient.keepAlive(leaseId);
    }

    @Override
    public Uni<StoreResult<Boolean>> revoke(long leaseId) {
        return mClient.revoke(leaseId);
    }

    @Override
    public StoreWatch watch(String prefix, long fromRevision, WatchListener listener) {
        return mClient.watch(prefix, fromRevision, listener);
    }

    @Override
    public void close() {
        synchronized (this) {
            mWatches.clear();
        }
    }

    synchronized Duration ttl(long leaseId) {
        return Duration.ofNanos(mEngine.ttlNanos(leaseId));
    }

    StoreClient defaultClient() {
        return mClient;
    }

    StoreEngine engine() {
        return mEngine;
    }

    <T> T run(StoreCallKind kind, Supplier<T> effect) {
        T result;
        synchronized (this) {
            mEngine.expireLeases();
            mCounters.count(kind);
            result = effect.get();
            collectReports();
        }
        report();
        return result;
    }

    synchronized void holdUp(Runnable call) {
        mHeldUp.add(call);
    }

    synchronized void later(Duration delay, Runnable answer) {
        mDelayed.add(new Delayed(mClock.monotonicNanos() + delay.toNanos(), mOrder++, answer));
    }

    StoreWatch watch(StoreClient client, String prefix, long fromRevision, WatchListener listener) {
        InMemoryWatch watch;
        synchronized (this) {
            mCounters.count(StoreCallKind.WATCH);
            long from = fromRevision == 0 ? mEngine.revision() + 1 : fromRevision;
            watch = new InMemoryWatch(client, prefix, from, listener);
            mWatches.add(watch);
        }
        refreshWatches();
        return () -> {
            watch.close();
            synchronized (this) {
                mWatches.remove(watch);
            }
        };
    }

    synchronized void closeWatches(StoreClient client) {
        mWatches.stream().filter(w -> w.client() == client).forEach(InMemoryWatch::close);
        mWatches.removeIf(watch -> watch.client() == client);
    }

    private void refreshWatches() {
        synchronized (this) {
            collectReports();
        }
        report();
    }

    private void collectReports() {
        mWatches.forEach(watch -> watch.update(mEngine, mReports::addLast));
    }

    /** Makes the pending reports, one at a time and without holding the lock. */
    private void report() {
        synchronized (this) {
            if (mReporting) {
                return;
            }
            mReporting = true;
        }
        while (true) {
            Runnable next;
            synchronized (this) {
                next = mReports.pollFirst();
                if (next == null) {
                    mReporting = false;
                    return;
                }
            }
            next.run();
        }
    }
}
