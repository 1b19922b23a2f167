package org.knapweedbank.node.store;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.knapweedbank.node.ManualTimers;
import org.knapweedbank.time.ManualClock;
import org.knapweedbank.time.Timestamp;

/** Tests the watch with a store that fails calls and drops old changes. */
class PrefixWatchTest implements PrefixWatch.Listener {
    private static final Duration RETRY = Duration.ofMillis(100);

    private final ManualClock mClock = new ManualClock(Instant.EPOCH);
    private final ManualTimers mTimers = new ManualTimers(mClock);
    private final ScriptedStore mStore = new ScriptedStore();
    private final List<Set<String>> mSeenKeys = new ArrayList<>();
    private final List<Long> mSeenAges = new ArrayList<>();
    private final List<String> mFailures = new ArrayList<>();
    private final List<String> mLoggedEvents = new ArrayList<>();

    /** Key for which the listener throws; empty if it never throws. */
    private String mRejectedKey = "";

    @Override
    public void itemsRefreshed(Map<String, StoreItem> items, Timestamp requestedAt) {
        if (items.containsKey(mRejectedKey)) {
            throw new IllegalArgumentException("unexpected item " + mRejectedKey);
        }
        mSeenKeys.add(items.keySet());
        mSeenAges.add(requestedAt.ageMillis(mClock));
    }

    @Override
    public void storeUnavailable(String reason) {
        mFailures.add(reason);
    }

    private void start() {
        new PrefixWatch(
                        mStore,
                        mClock,
                        mTimers,
                        (event, subject, fields) -> mLoggedEvents.add(event),
                        "p/",
                        () -> Duration.ofSeconds(1),
                        RETRY,
                        this)
                .start();
    }

    private static ReadOutcome items(long revision, String... keys) {
        List<StoreItem> items =
                List.of(keys).stream().map(k -> new StoreItem(k, new byte[0], 1)).toList();
        return new ReadOutcome.Items(items, revision);
    }

    /** Guards against an event that is lost between the read and the watch, or applied twice. */
    @Test
    void appliesEventsFromTheRevisionOfTheRead() {
        mStore.mReads.add(items(7, "p/a"));
        mStore.mWatches.add(
                new WatchOutcome.Events(List.of(new StoreEvent("p/b", new byte[0], 8)), 8));
        mStore.mWatches.add(new WatchOutcome.Events(List.of(new StoreEvent("p/a", null, 9)), 9));
        start();
        assertThat(mStore.mWatchRevisions).containsExactly(7L, 8L, 9L).inOrder();
        assertThat(mSeenKeys)
                .containsExactly(Set.of("p/a"), Set.of("p/a", "p/b"), Set.of("p/b"))
                .inOrder();
    }

    /** Guards against items that stay for ever because their removal was in the dropped history. */
    @Test
    void readsAgainWhenHistoryIsGone() {
        mStore.mReads.add(items(7, "p/a", "p/b"));
        mStore.mWatches.add(new WatchOutcome.HistoryGone());
        mStore.mReads.add(items(30, "p/b"));
        start();
        assertThat(mSeenKeys.getLast()).containsExactly("p/b");
        assertThat(mStore.mWatchRevisions.getLast()).isEqualTo(30);
    }

    /** Guards against a copy that is not updated after an outage, and a busy loop during it. */
    @Test
    void readsAgainAfterADelayWhenStoreIsUnavailable() {
        mStore.mReads.add(items(7, "p/a"));
        mStore.mWatches.add(new WatchOutcome.Unavailable("cut"));
        mStore.mReads.add(new ReadOutcome.Unavailable("busy"));
        mStore.mReads.add(items(9, "p/c"));
        start();
        assertThat(mFailures).containsExactly("cut");
        mTimers.advance(RETRY);
        assertThat(mFailures).containsExactly("cut", "busy").inOrder();
        mTimers.advance(RETRY);
        assertThat(mSeenKeys.getLast()).containsExactly("p/c");
    }

    /**
     * Guards against an owner that takes an answer which was held up for the present state, and
     * acts after its successor has begun.
     */
    @Test
    void itemsAreAsOldAsTheirRequest() {
        mStore.mReads.add(items(7, "p/a"));
        start();
        mTimers.advance(Duration.ofSeconds(4));
        mStore.mLatestWatch.accept(new WatchOutcome.Events(List.of(), 7));
        assertThat(mSeenAges).containsExactly(0L, 4_000L).inOrder();
    }

    /** Guards against a watch that ends for good because its listener failed on one item. */
    @Test
    void continuesAfterListenerFailsOnAnItem() {
        mRejectedKey = "p/odd";
        mStore.mReads.add(items(7, "p/a", "p/odd"));
        mStore.mWatches.add(
                new WatchOutcome.Events(List.of(new StoreEvent("p/b", new byte[0], 8)), 8));
        mStore.mWatches.add(new WatchOutcome.Events(List.of(new StoreEvent("p/odd", null, 9)), 9));
        start();
        assertThat(mStore.mWatchRevisions).containsExactly(7L, 8L, 9L).inOrder();
        assertThat(mSeenKeys).containsExactly(Set.of("p/a", "p/b"));
        assertThat(mLoggedEvents).containsExactly("watch.listener_failed", "watch.listener_failed");
    }

    /**
     * Store with scripted answers to reads and watches; a call beyond the script gets no answer.
     */
    private static final class ScriptedStore implements CoordinationStore {
        final Deque<ReadOutcome> mReads = new ArrayDeque<>();
        final Deque<WatchOutcome> mWatches = new ArrayDeque<>();
        final List<Long> mWatchRevisions = new ArrayList<>();
        Consumer<WatchOutcome> mLatestWatch;

        @Override
        public void read(String prefix, boolean allowStale, Consumer<ReadOutcome> done) {
            if (!mReads.isEmpty()) {
                done.accept(mReads.poll());
            }
        }

        @Override
        public void watch(
                String prefix, long afterRevision, Duration maxWait, Consumer<WatchOutcome> done) {
            mWatchRevisions.add(afterRevision);
            mLatestWatch = done;
            if (!mWatches.isEmpty()) {
                done.accept(mWatches.poll());
            }
        }

        @Override
        public void write(StoreChange change, Consumer<WriteOutcome> done) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void openLease(Duration ttl, Consumer<LeaseOutcome> done) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void renewLease(long lease, Consumer<LeaseOutcome> done) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void endLease(long lease, Consumer<LeaseOutcome> done) {
            throw new UnsupportedOperationException();
        }
    }
}
