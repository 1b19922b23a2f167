package org.knapweedbank.standin;

import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.knapweedbank.store.WatchListener;

/** A watch on the in-memory store. Its owner synchronizes all calls but {@link #close()}. */
final class InMemoryWatch {
    private final StoreClient mClient;
    private final String mPrefix;
    private final WatchListener mListener;
    private long mNextRevision;
    private boolean mConnected;
    private boolean mEverConnected;
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

    /** Queues the reports that bring the listener up to date. */
    void update(StoreEngine engine, Consumer<Runnable> reports) {
        if (mClient.isDown()) {
            if (mConnected || !mEverConnected) {
                queue(reports, () -> mListener.interrupted("store is down"));
            }
            mConnected = false;
            mEverConnected = true;
            return;
        }
        if (!mConnected) {
            mConnected = true;
            mEverConnected = true;
            queue(reports, mListener::connected);
        }
        if (mNextRevision < engine.oldestRevision()) {
            long oldest = engine.oldestRevision();
            queue(reports, () -> mListener.compacted(oldest));
            mNextRevision = oldest;
        }
        if (mNextRevision <= engine.revision()) {
            engine.changesFrom(mNextRevision).stream()
                    .filter(change -> StoreEngine.matches(mPrefix, change.key()))
                    .collect(
                            Collectors.groupingBy(
                                    StoreChange::revision, TreeMap::new, Collectors.toList()))
                    .values()
                    .forEach(changes -> queue(reports, () -> report(changes)));
            mNextRevision = engine.revision() + 1;
        }
    }

    private void report(List<StoreChange> changes) {
        changes.forEach(change -> change.report(mListener));
        if (mListener instanceof RevisionListener listener) {
            listener.revisionEnded();
        }
    }

    private void queue(Consumer<Runnable> reports, Runnable report) {
        reports.accept(
                () -> {
                    if (!mClosed) {
                        report.run();
                    }
                });
    }
}
