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
 * In-memory key-value store with the semantics and limits of the platform's key-value service.
 * Results are delivered on the calling thread; results that {@link StoreFaults} delays are
 * delivered by {@link #tick()}. Leases are checked for expiry on each call and by {@link #tick()}.
 * Thread-safe.
 */
public final class InMemoryStore implements KeyValueStore {
    private final Clock mClock;
    private final StoreCallCounters mCounters = new StoreCallCounters();
    private final StoreFaults mFaults = new StoreFaults();
    private final StoreEngine mEngine;
    private final StoreClient mDefaultClient;
    private final List<InMemoryWatch> mWatches = new ArrayList<>();
    private final Deque<Runnable> mNotifications = new ArrayDeque<>();
    private final PriorityQueue<DelayedResponse> mDelayedResponses =
            new PriorityQueue<>(
                    Comparator.comparingLong(DelayedResponse::dueNanos)
                            .thenComparingLong(DelayedResponse::sequence));
    private final List<Runnable> mDelayedCalls = new ArrayList<>();
    private long mNextSequence;
    private boolean mDeliveringNotifications;

    /**
     * A response whose delivery is delayed.
     *
     * @param dueNanos monotonic time of the delivery in nanoseconds
     * @param sequence sequence number that orders responses with the same due time
     * @param delivery delivers the response
     */
    private record DelayedResponse(long dueNanos, long sequence, Runnable delivery) {}

    /**
     * Creates an empty store at revision 1.
     *
     * @param clock clock for lease expiry and response delays
     */
    public InMemoryStore(Clock clock) {
        mClock = clock;
        mEngine = new StoreEngine(clock, mCounters);
        mDefaultClient = new StoreClient(this, new StoreFaults());
        mFaults.addDownListener(this::updateWatches);
    }

    /**
     * Creates another client of this store, which has faults of its own.
     *
     * @return the new client
     */
    public StoreClient client() {
        StoreFaults faults = new StoreFaults();
        faults.addDownListener(this::updateWatches);
        return new StoreClient(this, faults);
    }

    /**
     * Returns the fault settings of the store, which affect all its clients.
     *
     * @return the fault settings
     */
    public StoreFaults faults() {
        return mFaults;
    }

    /**
     * Returns the counters of all calls that reached the store.
     *
     * @return the counters
     */
    public StoreCallCounters counters() {
        return mCounters;
    }

    /** Expires leases and delivers the delayed responses that are due. */
    public void tick() {
        synchronized (this) {
            mEngine.expireLeases();
            collectNotifications();
        }
        while (true) {
            DelayedResponse next;
            synchronized (this) {
                next = mDelayedResponses.peek();
                if (next == null || next.dueNanos - mClock.monotonicNanos() > 0) {
                    break;
                }
                mDelayedResponses.poll();
            }
            next.delivery.run();
        }
        deliverNotifications();
    }

    /** Executes the calls that {@link AnswerLoss#LATE_EFFECT} has delayed. */
    public void executeDelayedCalls() {
        List<Runnable> delayedCalls;
        synchronized (this) {
            delayedCalls = List.copyOf(mDelayedCalls);
            mDelayedCalls.clear();
        }
        delayedCalls.forEach(Runnable::run);
    }

    /** Drops the history of changes, so that a watch that lags behind cannot catch up. */
    public synchronized void compact() {
        mEngine.compact();
    }

    /**
     * Returns the current revision of the store.
     *
     * @return the revision
     */
    public synchronized long revision() {
        return mEngine.revision();
    }

    @Override
    public Uni<StoreResult<KeyRange>> get(String key) {
        return mDefaultClient.get(key);
    }

    @Override
    public Uni<StoreResult<KeyRange>> range(String prefix, int limit) {
        return mDefaultClient.range(prefix, limit);
    }

    @Override
    public Uni<StoreResult<KeyRange>> rangeFrom(String prefix, String from, int limit) {
        return mDefaultClient.rangeFrom(prefix, from, limit);
    }

    @Override
    public Uni<StoreResult<TransactionResult>> transact(Transaction transaction) {
        return mDefaultClient.transact(transaction);
    }

    @Override
    public Uni<StoreResult<Long>> grantLease(Duration ttl) {
        return mDefaultClient.grantLease(ttl);
    }

    @Override
    public Uni<StoreResult<Boolean>> keepAlive(long leaseId) {
        return mDefaultClient.keepAlive(leaseId);
    }

    @Override
    public Uni<StoreResult<Boolean>> revoke(long leaseId) {
        return mDefaultClient.revoke(leaseId);
    }

    @Override
    public StoreWatch watch(String prefix, long fromRevision, WatchListener listener) {
        return mDefaultClient.watch(prefix, fromRevision, listener);
    }

    @Override
    public void close() {
        synchronized (this) {
            mWatches.clear();
        }
    }

    /** Returns the granted time to live of a lease, or zero if it is not held. */
    synchronized Duration ttl(long leaseId) {
        return Duration.ofNanos(mEngine.ttlNanos(leaseId));
    }

    StoreClient defaultClient() {
        return mDefaultClient;
    }

    StoreEngine engine() {
        return mEngine;
    }

    /**
     * Executes a call that has reached the store and then delivers the resulting notifications.
     *
     * @param kind kind under which the call is counted
     * @param operation operation of the call, which runs under the lock
     */
    <T> T execute(StoreCallKind kind, Supplier<T> operation) {
        T result;
        synchronized (this) {
            mEngine.expireLeases();
            mCounters.count(kind);
            result = operation.get();
            collectNotifications();
        }
        deliverNotifications();
        return result;
    }

    /** Keeps a call back until {@link #executeDelayedCalls()}. */
    synchronized void delayCall(Runnable call) {
        mDelayedCalls.add(call);
    }

    /** Schedules a response that {@link #tick()} delivers after a delay. */
    synchronized void delayResponse(Duration delay, Runnable delivery) {
        mDelayedResponses.add(
                new DelayedResponse(
                        mClock.monotonicNanos() + delay.toNanos(), mNextSequence++, delivery));
    }

    /**
     * Opens a watch for a client.
     *
     * @param fromRevision first revision to report, or 0 for the revision after the current one
     */
    StoreWatch watch(StoreClient client, String prefix, long fromRevision, WatchListener listener) {
        InMemoryWatch watch;
        synchronized (this) {
            mCounters.count(StoreCallKind.WATCH);
            long from = fromRevision == 0 ? mEngine.revision() + 1 : fromRevision;
            watch = new InMemoryWatch(client, prefix, from, listener);
            mWatches.add(watch);
        }
        updateWatches();
        return () -> {
            watch.close();
            synchronized (this) {
                mWatches.remove(watch);
            }
        };
    }

    synchronized void closeWatches(StoreClient client) {
        mWatches.stream().filter(watch -> watch.client() == client).forEach(InMemoryWatch::close);
        mWatches.removeIf(watch -> watch.client() == client);
    }

    private void updateWatches() {
        synchronized (this) {
            collectNotifications();
        }
        deliverNotifications();
    }

    /** Queues the notifications that are due for each watch. The caller holds the lock. */
    private void collectNotifications() {
        mWatches.forEach(watch -> watch.update(mEngine, mNotifications::addLast));
    }

    /**
     * Calls the watch listeners with the pending notifications, one at a time and without holding
     * the lock. If another thread is already doing so, it takes over the new notifications as well.
     */
    private void deliverNotifications() {
        synchronized (this) {
            if (mDeliveringNotifications) {
                return;
            }
            mDeliveringNotifications = true;
        }
        while (true) {
            Runnable next;
            synchronized (this) {
                next = mNotifications.pollFirst();
                if (next == null) {
                    mDeliveringNotifications = false;
                    return;
                }
            }
            next.run();
        }
    }
}
