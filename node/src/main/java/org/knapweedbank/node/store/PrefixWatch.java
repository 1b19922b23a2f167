package org.knapweedbank.node.store;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.node.Timers;
import org.knapweedbank.time.Clock;
import org.knapweedbank.time.Timestamp;

/**
 * Keeps a copy of all items whose keys have a prefix. It reads the items once, watches them from
 * the revision of that read, and reads them again when the watch fails or has missed changes.
 */
public final class PrefixWatch {
    private final CoordinationStore mStore;
    private final Clock mClock;
    private final Timers mTimers;
    private final DecisionLog mLog;
    private final String mPrefix;
    private final Supplier<Duration> mMaxWait;
    private final Duration mRetryDelay;
    private final Listener mListener;
    private final Map<String, StoreItem> mItems = new HashMap<>();

    /**
     * Creates the watch, which {@link #start} starts.
     *
     * @param store the store
     * @param clock source of time
     * @param timers timers of the process
     * @param log receives failures of the listener
     * @param prefix prefix of the items
     * @param maxWait supplies the maximum time that a watch call waits for a change
     * @param retryDelay delay before the items are read again after the store gave no usable answer
     * @param listener receives the items
     */
    public PrefixWatch(
            CoordinationStore store,
            Clock clock,
            Timers timers,
            DecisionLog log,
            String prefix,
            Supplier<Duration> maxWait,
            Duration retryDelay,
            Listener listener) {
        mStore = store;
        mClock = clock;
        mTimers = timers;
        mLog = log;
        mPrefix = prefix;
        mMaxWait = maxWait;
        mRetryDelay = retryDelay;
        mListener = listener;
    }

    /** Starts the watch, which continues for the life of the process. */
    public void start() {
        read();
    }

    private void read() {
        Timestamp requestedAt = Timestamp.now(mClock);
        mStore.read(mPrefix, false, outcome -> handleRead(requestedAt, outcome));
    }

    private void handleRead(Timestamp requestedAt, ReadOutcome outcome) {
        switch (outcome) {
            case ReadOutcome.Items items -> {
                mItems.clear();
                items.items().forEach(item -> mItems.put(item.key(), item));
                notifyListener(requestedAt);
                watch(items.revision());
            }
            case ReadOutcome.Unavailable unavailable -> retryRead(unavailable.reason());
        }
    }

    private void watch(long revision) {
        Timestamp requestedAt = Timestamp.now(mClock);
        mStore.watch(
                mPrefix, revision, mMaxWait.get(), outcome -> handleWatch(requestedAt, outcome));
    }

    private void handleWatch(Timestamp requestedAt, WatchOutcome outcome) {
        switch (outcome) {
            case WatchOutcome.Events events -> {
                events.events().forEach(this::apply);
                notifyListener(requestedAt);
                watch(events.revision());
            }
            case WatchOutcome.HistoryGone ignored -> read();
            case WatchOutcome.Unavailable unavailable -> retryRead(unavailable.reason());
        }
    }

    /** Passes the items to the listener. The watch continues if the listener fails on them. */
    private void notifyListener(Timestamp requestedAt) {
        try {
            mListener.itemsRefreshed(Map.copyOf(mItems), requestedAt);
        } catch (RuntimeException e) {
            mLog.record("watch.listener_failed", mPrefix, "cause", e);
        }
    }

    private void apply(StoreEvent event) {
        if (event.removed()) {
            mItems.remove(event.key());
        } else {
            mItems.put(event.key(), new StoreItem(event.key(), event.value(), event.revision()));
        }
    }

    private void retryRead(String reason) {
        mListener.storeUnavailable(reason);
        mTimers.after(mRetryDelay, this::read);
    }

    /** Receives the items and failures of a watch. */
    public interface Listener {
        /**
         * Handles a refresh of the copy, which may be unchanged.
         *
         * @param items all current items, by key
         * @param requestedAt moment at which the store was asked; the answer may have been held up
         *     since, but tells the state at this moment or later
         */
        void itemsRefreshed(Map<String, StoreItem> items, Timestamp requestedAt);

        /**
         * Handles a read or watch to which the store gave no usable answer.
         *
         * @param reason cause for the log
         */
        void storeUnavailable(String reason);
    }
}
