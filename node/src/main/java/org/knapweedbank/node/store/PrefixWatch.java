package org.knapweedbank.node.store;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.node.Timers;

/**
 * Copy of all items with a prefix that follows the store: it reads them once, watches them from
 * there, and reads them again whenever the watch has missed something or was cut.
 */
public final class PrefixWatch {
    private final CoordinationStore mStore;
    private final Timers mTimers;
    private final String mPrefix;
    private final Duration mWait;
    private final Duration mRetry;
    private final Listener mListener;
    private final Map<String, StoreItem> mItems = new HashMap<>();

    /**
     * Creates the copy; {@link #start} begins to fill it.
     *
     * @param store the store
     * @param timers timers of the process
     * @param prefix prefix of the items
     * @param wait longest time that a watch waits for a change
     * @param retry pause before the items are read again after the store gave no usable answer
     * @param listener receives the items
     */
    public PrefixWatch(
            CoordinationStore store,
            Timers timers,
            String prefix,
            Duration wait,
            Duration retry,
            Listener listener) {
        mStore = store;
        mTimers = timers;
        mPrefix = prefix;
        mWait = wait;
        mRetry = retry;
        mListener = listener;
    }

    /** Begins to follow the store; goes on for the life of the process. */
    public void start() {
        read();
    }

    private void read() {
        mStore.read(mPrefix, false, this::wasRead);
    }

    private void wasRead(ReadOutcome outcome) {
        switch (outcome) {
            case ReadOutcome.Items items -> {
                mItems.clear();
                items.items().forEach(item -> mItems.put(item.key(), item));
                mListener.current(Map.copyOf(mItems));
                watch(items.revision());
            }
            case ReadOutcome.Unavailable away -> readLater(away.reason());
        }
    }

    private void watch(long revision) {
        mStore.watch(mPrefix, revision, mWait, this::watched);
    }

    private void watched(WatchOutcome outcome) {
        switch (outcome) {
            case WatchOutcome.Events events -> {
                events.events().forEach(this::apply);
                mListener.current(Map.copyOf(mItems));
                watch(events.revision());
            }
            case WatchOutcome.HistoryGone ignored -> read();
            case WatchOutcome.Unavailable away -> readLater(away.reason());
        }
    }

    private void apply(StoreEvent event) {
        if (event.removed()) {
            mItems.remove(event.key());
        } else {
            mItems.put(event.key(), new StoreItem(event.key(), event.value(), event.revision()));
        }
    }

    private void readLater(String reason) {
        mListener.unavailable(reason);
        mTimers.after(mRetry, this::read);
    }

    /** Receives the items. */
    public interface Listener {
        /**
         * Takes the items as they are in the store now, changed or not.
         *
         * @param items the items by their keys
         */
        void current(Map<String, StoreItem> items);

        /**
         * Takes word that the store gave no usable answer.
         *
         * @param reason cause for the log
         */
        void unavailable(String reason);
    }
}
