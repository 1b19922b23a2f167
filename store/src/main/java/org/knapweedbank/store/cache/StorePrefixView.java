package org.knapweedbank.store.cache;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.KeyPrefix;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.StoreWatch;
import org.knapweedbank.store.WatchListener;
import org.knapweedbank.time.Clock;

/**
 * View of a prefix that is updated by a watch and by the reads of {@link #refresh()}, which the
 * owner of the view calls every second. Responses that are older than the view are not applied.
 */
public final class StorePrefixView implements PrefixView, AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(StorePrefixView.class);
    private static final int PAGE_SIZE_ENTRIES = 100;

    private final KeyValueStore mStore;
    private final String mPrefix;
    private final Clock mClock;
    private final NavigableMap<String, KeyEntry> mEntries = new TreeMap<>();

    /** Revisions of deletions that are newer than the last applied read, by key. */
    private final Map<String, Long> mDeletionRevisions = new HashMap<>();

    private final List<Subscription> mSubscriptions = new ArrayList<>();

    /** Subscriptions whose listeners have to be called. */
    private final Set<Subscription> mPendingSubscriptions = new LinkedHashSet<>();

    private StoreWatch mWatch;

    /** Revision of the last applied read. */
    private long mReadRevision;

    private long mConfirmedNanos = Long.MIN_VALUE;
    private boolean mReadInProgress;

    /** True if another read has to follow the one in progress. */
    private boolean mRereadRequested;

    private boolean mInterrupted;
    private boolean mNotifyingListeners;
    private boolean mClosed;

    /** Listener for a part of the view. Subscriptions are compared by identity. */
    private static final class Subscription {
        private final String mPrefix;
        private final Runnable mListener;

        private Subscription(String prefix, Runnable listener) {
            mPrefix = prefix;
            mListener = listener;
        }
    }

    /** Read of the whole prefix, with the entries of the pages received so far. */
    private static final class PrefixRead {
        private final long mSentNanos;
        private final List<KeyEntry> mPagedEntries = new ArrayList<>();
        private long mRevision;

        private PrefixRead(long sentNanos) {
            mSentNanos = sentNanos;
        }
    }

    /**
     * Creates an empty view; {@link #start()} starts to fill it.
     *
     * @param store the store
     * @param prefix prefix of the view
     * @param clock clock for {@link #confirmedNanos()}
     */
    public StorePrefixView(KeyValueStore store, String prefix, Clock clock) {
        mStore = store;
        mPrefix = prefix;
        mClock = clock;
    }

    /** Opens the watch and sends the first read. */
    public void start() {
        StoreWatch watch = mStore.watch(mPrefix, 0, new ViewUpdater());
        synchronized (this) {
            mWatch = watch;
        }
        refresh();
    }

    /**
     * Reads the whole prefix, which confirms the view if the store responds. Has no effect while
     * another read is in progress.
     */
    public void refresh() {
        PrefixRead read;
        synchronized (this) {
            if (mReadInProgress || mClosed) {
                return;
            }
            mReadInProgress = true;
            read = new PrefixRead(mClock.monotonicNanos());
        }
        readPage(read, mPrefix);
    }

    @Override
    public synchronized Optional<KeyEntry> get(String key) {
        return Optional.ofNullable(mEntries.get(key));
    }

    @Override
    public synchronized List<KeyEntry> list(String prefix) {
        return List.copyOf(
                mEntries.subMap(prefix, true, KeyPrefix.rangeEnd(prefix), false).values());
    }

    @Override
    public void subscribe(String prefix, Runnable listener) {
        synchronized (this) {
            Subscription subscription = new Subscription(prefix, listener);
            mSubscriptions.add(subscription);
            if (mConfirmedNanos != Long.MIN_VALUE) {
                mPendingSubscriptions.add(subscription);
            }
        }
        notifyListeners();
    }

    @Override
    public synchronized long confirmedNanos() {
        return mConfirmedNanos;
    }

    @Override
    public void close() {
        StoreWatch watch;
        synchronized (this) {
            mClosed = true;
            watch = mWatch;
        }
        if (watch != null) {
            watch.close();
        }
    }

    private void readPage(PrefixRead read, String fromKey) {
        mStore.rangeFrom(mPrefix, fromKey, PAGE_SIZE_ENTRIES)
                .subscribe()
                .with(
                        result -> handlePage(read, result),
                        failure -> handleReadFailure(failure.toString()));
    }

    private void handlePage(PrefixRead read, StoreResult<KeyRange> result) {
        switch (result) {
            case StoreResult.Succeeded<KeyRange>(KeyRange page) -> {
                // Later pages may be of a newer revision. The revision of the first page decides
                // whether a key that is missing from the pages has been deleted.
                read.mRevision = read.mRevision == 0 ? page.revision() : read.mRevision;
                read.mPagedEntries.addAll(page.entries());
                if (page.hasMore()) {
                    readPage(read, page.entries().getLast().key() + "\0");
                } else {
                    apply(read);
                }
            }
            case StoreResult.Rejected<KeyRange>(String reason) -> handleReadFailure(reason);
            case StoreResult.Unavailable<KeyRange>(String reason) -> handleReadFailure(reason);
            case StoreResult.Unknown<KeyRange>(String reason) -> handleReadFailure(reason);
        }
    }

    private void handleReadFailure(String reason) {
        LOG.debug("[store] could not confirm the view of {}: {}", mPrefix, reason);
        synchronized (this) {
            mReadInProgress = false;
        }
    }

    private void apply(PrefixRead read) {
        boolean rereadRequested;
        synchronized (this) {
            mReadInProgress = false;
            rereadRequested = mRereadRequested;
            mRereadRequested = false;
            if (read.mRevision < mReadRevision) {
                LOG.warn(
                        "[store] ignored a read of {} at revision {}; the view is at revision {}",
                        mPrefix,
                        read.mRevision,
                        mReadRevision);
                return;
            }
            boolean firstRead = mConfirmedNanos == Long.MIN_VALUE;
            mergeRead(read);
            mReadRevision = read.mRevision;
            mDeletionRevisions.values().removeIf(revision -> revision <= mReadRevision);
            mConfirmedNanos = Math.max(mConfirmedNanos, read.mSentNanos);
            if (firstRead) {
                mPendingSubscriptions.addAll(mSubscriptions);
            }
        }
        notifyListeners();
        if (rereadRequested) {
            refresh();
        }
    }

    private void mergeRead(PrefixRead read) {
        Set<String> presentKeys = new LinkedHashSet<>();
        for (KeyEntry entry : read.mPagedEntries) {
            presentKeys.add(entry.key());
            applyPut(entry);
        }
        List<KeyEntry> deletedEntries =
                mEntries.values().stream()
                        .filter(entry -> !presentKeys.contains(entry.key()))
                        .filter(entry -> entry.modRevision() <= read.mRevision)
                        .toList();
        deletedEntries.forEach(entry -> applyDeletion(entry.key(), read.mRevision));
    }

    private void applyPut(KeyEntry entry) {
        KeyEntry current = mEntries.get(entry.key());
        boolean newer = current == null || current.modRevision() < entry.modRevision();
        if (newer && mDeletionRevisions.getOrDefault(entry.key(), 0L) < entry.modRevision()) {
            mEntries.put(entry.key(), entry);
            markPending(entry.key());
        }
    }

    private void applyDeletion(String key, long revision) {
        KeyEntry current = mEntries.get(key);
        if (current != null && current.modRevision() <= revision) {
            mEntries.remove(key);
            markPending(key);
        }
        if (revision > mReadRevision) {
            mDeletionRevisions.merge(key, revision, Math::max);
        }
    }

    private void markPending(String key) {
        mSubscriptions.stream()
                .filter(subscription -> key.startsWith(subscription.mPrefix))
                .forEach(mPendingSubscriptions::add);
    }

    /** Calls the pending listeners, from one thread at a time and without holding the lock. */
    private void notifyListeners() {
        synchronized (this) {
            if (mNotifyingListeners) {
                return;
            }
            mNotifyingListeners = true;
        }
        while (true) {
            Subscription next;
            synchronized (this) {
                if (mPendingSubscriptions.isEmpty()) {
                    mNotifyingListeners = false;
                    return;
                }
                next = mPendingSubscriptions.iterator().next();
                mPendingSubscriptions.remove(next);
            }
            callAndLogFailure(next.mListener);
        }
    }

    private void callAndLogFailure(Runnable listener) {
        try {
            listener.run();
        } catch (RuntimeException e) {
            LOG.error("[store] listener of the view of {} threw an exception", mPrefix, e);
        }
    }

    /**
     * Reads the prefix after an interruption of the watch. If a read is in progress, another one
     * follows it, because the first may have been sent before the interruption.
     */
    private void reread() {
        synchronized (this) {
            mRereadRequested = mReadInProgress;
        }
        refresh();
    }

    /** Applies the events of the watch to the view. */
    private final class ViewUpdater implements WatchListener {
        @Override
        public void put(KeyEntry entry) {
            synchronized (StorePrefixView.this) {
                applyPut(entry);
            }
            notifyIfConfirmed();
        }

        @Override
        public void deleted(String key, long revision) {
            synchronized (StorePrefixView.this) {
                applyDeletion(key, revision);
            }
            notifyIfConfirmed();
        }

        @Override
        public void interrupted(String reason) {
            LOG.warn("[store] watch of {} interrupted: {}", mPrefix, reason);
            synchronized (StorePrefixView.this) {
                mInterrupted = true;
            }
        }

        @Override
        public void connected() {
            boolean reread;
            synchronized (StorePrefixView.this) {
                reread = mInterrupted;
                mInterrupted = false;
            }
            if (reread) {
                LOG.info("[store] watch of {} is connected again", mPrefix);
                reread();
            }
        }

        @Override
        public void compacted(long revision) {
            LOG.warn("[store] watch of {} lost events before revision {}", mPrefix, revision);
            reread();
        }

        private void notifyIfConfirmed() {
            if (confirmedNanos() != Long.MIN_VALUE) {
                notifyListeners();
            }
        }
    }
}
