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
 * View of a prefix kept by one watch and by {@link #confirm()}, which its user calls every second.
 * Answers that are older than what the view holds are not applied.
 */
public final class StorePrefixView implements PrefixView, AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(StorePrefixView.class);
    private static final int PAGE_ENTRIES = 100;

    private final KeyValueStore mStore;
    private final String mPrefix;
    private final Clock mClock;
    private final NavigableMap<String, KeyEntry> mEntries = new TreeMap<>();
    private final Map<String, Long> mDeletions = new HashMap<>();
    private final List<Subscription> mSubscriptions = new ArrayList<>();
    private final Set<Subscription> mDue = new LinkedHashSet<>();
    private StoreWatch mWatch;
    private long mReadRevision;
    private long mConfirmedNanos = Long.MIN_VALUE;
    private boolean mReading;
    private boolean mReadAgain;
    private boolean mInterrupted;
    private boolean mNotifying;
    private boolean mClosed;

    /** A listener for a part of the view. Compared by identity. */
    private static final class Subscription {
        private final String mPrefix;
        private final Runnable mListener;

        private Subscription(String prefix, Runnable listener) {
            mPrefix = prefix;
            mListener = listener;
        }
    }

    /** Pages of one read of the whole prefix. */
    private static final class Read {
        private final long mSentNanos;
        private final List<KeyEntry> mPages = new ArrayList<>();
        private long mRevision;

        private Read(long sentNanos) {
            mSentNanos = sentNanos;
        }
    }

    /**
     * Creates an empty view; {@link #start()} begins to fill it.
     *
     * @param store the store
     * @param prefix prefix of the view
     * @param clock clock of {@link #confirmedNanos()}
     */
    public StorePrefixView(KeyValueStore store, String prefix, Clock clock) {
        mStore = store;
        mPrefix = prefix;
        mClock = clock;
    }

    /** Opens the watch and sends the first read. */
    public void start() {
        StoreWatch watch = mStore.watch(mPrefix, 0, new Changes());
        synchronized (this) {
            mWatch = watch;
        }
        confirm();
    }

    /**
     * Reads the whole prefix, which confirms the view if the store answers. While a read is under
     * way this has no effect.
     */
    public void confirm() {
        Read read;
        synchronized (this) {
            if (mReading || mClosed) {
                return;
            }
            mReading = true;
            read = new Read(mClock.monotonicNanos());
        }
        readPage(read, mPrefix);
    }

    @Override
    public synchronized Optional<KeyEntry> get(String key) {
        return Optional.ofNullable(mEntries.get(key));
    }

    @Override
    public synchronized List<KeyEntry> list(String prefix) {
        return List.copyOf(mEntries.subMap(prefix, true, KeyPrefix.end(prefix), false).values());
    }

    @Override
    public void subscribe(String prefix, Runnable listener) {
        synchronized (this) {
            Subscription subscription = new Subscription(prefix, listener);
            mSubscriptions.add(subscription);
            if (mConfirmedNanos != Long.MIN_VALUE) {
                mDue.add(subscription);
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

    private void readPage(Read read, String from) {
        mStore.rangeFrom(mPrefix, from, PAGE_ENTRIES)
                .subscribe()
                .with(result -> pageRead(read, result), failure -> failed(failure.toString()));
    }

    private void pageRead(Read read, StoreResult<KeyRange> result) {
        switch (result) {
            case StoreResult.Succeeded<KeyRange>(KeyRange page) -> {
                // Later pages may show a newer state. Deletions are judged by the first page.
                read.mRevision = read.mRevision == 0 ? page.revision() : read.mRevision;
                read.mPages.addAll(page.entries());
                if (page.more()) {
                    readPage(read, page.entries().getLast().key() + "\0");
                } else {
                    apply(read);
                }
            }
            case StoreResult.Rejected<KeyRange>(String reason) -> failed(reason);
            case StoreResult.Unavailable<KeyRange>(String reason) -> failed(reason);
            case StoreResult.Unknown<KeyRange>(String reason) -> failed(reason);
        }
    }

    private void failed(String reason) {
        LOG.debug("[store] view of {} not confirmed: {}", mPrefix, reason);
        synchronized (this) {
            mReading = false;
        }
    }

    private void apply(Read read) {
        boolean again;
        synchronized (this) {
            mReading = false;
            again = mReadAgain;
            mReadAgain = false;
            if (read.mRevision < mReadRevision) {
                LOG.warn(
                        "[store] read of {} at revision {} ignored; revision {} was seen",
                        mPrefix,
                        read.mRevision,
                        mReadRevision);
                return;
            }
            boolean first = mConfirmedNanos == Long.MIN_VALUE;
            merge(read);
            mReadRevision = read.mRevision;
            mDeletions.values().removeIf(revision -> revision <= mReadRevision);
            mConfirmedNanos = Math.max(mConfirmedNanos, read.mSentNanos);
            if (first) {
                mDue.addAll(mSubscriptions);
            }
        }
        notifyListeners();
        if (again) {
            confirm();
        }
    }

    private void merge(Read read) {
        Set<String> present = new LinkedHashSet<>();
        for (KeyEntry entry : read.mPages) {
            present.add(entry.key());
            applyPut(entry);
        }
        List<KeyEntry> gone =
                mEntries.values().stream()
                        .filter(e -> !present.contains(e.key()))
                        .filter(e -> e.modRevision() <= read.mRevision)
                        .toList();
        gone.forEach(entry -> applyDeletion(entry.key(), read.mRevision));
    }

    private void applyPut(KeyEntry entry) {
        KeyEntry before = mEntries.get(entry.key());
        boolean newer = before == null || before.modRevision() < entry.modRevision();
        if (newer && mDeletions.getOrDefault(entry.key(), 0L) < entry.modRevision()) {
            mEntries.put(entry.key(), entry);
            markDue(entry.key());
        }
    }

    private void applyDeletion(String key, long revision) {
        KeyEntry before = mEntries.get(key);
        if (before != null && before.modRevision() <= revision) {
            mEntries.remove(key);
            markDue(key);
        }
        if (revision > mReadRevision) {
            mDeletions.merge(key, revision, Math::max);
        }
    }

    private void markDue(String key) {
        mSubscriptions.stream().filter(s -> key.startsWith(s.mPrefix)).forEach(mDue::add);
    }

    /** Calls the listeners that are due, from one thread at a time and without the lock. */
    private void notifyListeners() {
        synchronized (this) {
            if (mNotifying) {
                return;
            }
            mNotifying = true;
        }
        while (true) {
            Subscription next;
            synchronized (this) {
                if (mDue.isEmpty()) {
                    mNotifying = false;
                    return;
                }
                next = mDue.iterator().next();
                mDue.remove(next);
            }
            callSafely(next.mListener);
        }
    }

    private void callSafely(Runnable listener) {
        try {
            listener.run();
        } catch (RuntimeException e) {
            LOG.error("[store] listener of {} failed", mPrefix, e);
        }
    }

    /** Rereads after an interruption; a read under way may be older than the interruption. */
    private void reread() {
        synchronized (this) {
            mReadAgain = mReading;
        }
        confirm();
    }

    /** Applies the reports of the watch. */
    private final class Changes implements WatchListener {
        @Override
        public void put(KeyEntry entry) {
            synchronized (StorePrefixView.this) {
                applyPut(entry);
            }
            notifyIfRead();
        }

        @Override
        public void deleted(String key, long revision) {
            synchronized (StorePrefixView.this) {
                applyDeletion(key, revision);
            }
            notifyIfRead();
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
                LOG.info("[store] watch of {} is live again", mPrefix);
                reread();
            }
        }

        @Override
        public void compacted(long revision) {
            LOG.warn("[store] watch of {} lost events before revision {}", mPrefix, revision);
            reread();
        }

        private void notifyIfRead() {
            if (confirmedNanos() != Long.MIN_VALUE) {
                notifyListeners();
            }
        }
    }
}
