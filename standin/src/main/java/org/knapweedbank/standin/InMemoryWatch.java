package org.knapweedbank.standin;

import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.knapweedbank.store.WatchListener;

/**
 * Watch on the changes of an {@link InMemoryStore} below a key prefix. The store synchronizes all
 * calls but {@link #close()}, which may be called from any thread.
 */
final class InMemoryWatch {
    private final StoreClient mClient;
    private final String mPrefix;
    private final WatchListener mListener;
    private long mNextRevision;
    private boolean mConnected;
    private boolean mInitialStateQueued;
    private volatile boolean mClosed;

    InMemoryWatch(StoreClient client, String prefix, long fromRevision, WatchListener listener) {
        mClient = client;
        mPrefix = prefix;
        mNextRevision = fromRevision;
        mListener = listener;
    }

    StoreClient client() {
        return mClient;
    }

    void close() {
        mClosed = true;
    }

    /**
     * Queues the notifications that bring the listener up to date with the store: changes of the
     * connection state, a compaction that dropped unseen changes, and new changes by revision.
     *
     * @param engine state of the store
     * @param notifications receives the notifications in the order in which they are to be run
     */
    void update(StoreEngine engine, Consumer<Runnable> notifications) {
        if (mClient.isDown()) {
            if (mConnected || !mInitialStateQueued) {
                enqueue(notifications, () -> mListener.interrupted("store is down"));
            }
            mConnected = false;
            mInitialStateQueued = true;
            return;
        }
        if (!mConnected) {
            mConnected = true;
            mInitialStateQueued = true;
            enqueue(notifications, mListener::connected);
        }
        if (mNextRevision < engine.oldestRevision()) {
            long oldest = engine.oldestRevision();
            enqueue(notifications, () -> mListener.compacted(oldest));
            mNextRevision = oldest;
        }
        if (mNextRevision <= engine.revision()) {
            engine.changesFrom(mNextRevision).stream()
                    .filter(change -> StoreEngine.hasPrefix(mPrefix, change.key()))
                    .collect(
                            Collectors.groupingBy(
                                    StoreChange::revision, TreeMap::new, Collectors.toList()))
                    .values()
                    .forEach(changes -> enqueue(notifications, () -> notifyListener(changes)));
            mNextRevision = engine.revision() + 1;
        }
    }

    private void notifyListener(List<StoreChange> changes) {
        changes.forEach(change -> change.notifyListener(mListener));
        if (mListener instanceof RevisionListener listener) {
            listener.revisionCompleted();
        }
    }

    private void enqueue(Consumer<Runnable> notifications, Runnable notification) {
        notifications.accept(
                () -> {
                    if (!mClosed) {
                        notification.run();
                    }
                });
    }
}
