package org.knapweedbank.store.cache;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.knapweedbank.standin.InMemoryStore;
import org.knapweedbank.standin.StoreCallKind;
import org.knapweedbank.standin.StoreClient;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.Transaction;
import org.knapweedbank.time.ManualClock;

class StorePrefixViewTest {
    private final ManualClock mClock = new ManualClock();
    private final InMemoryStore mStore = new InMemoryStore(mClock);
    private final StoreClient mClient = mStore.client();
    private final StorePrefixView mView = new StorePrefixView(mClient, "/kwb/c/", mClock);

    private void write(Operation... operations) {
        mStore.transact(Transaction.of(operations)).await().indefinitely();
    }

    private static Operation put(String key, String value) {
        return new Operation.Put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    private String valueText(String key) {
        return mView.get(key).map(KeyEntry::text).orElse("absent");
    }

    /** Guards against a view that misses the initial state, changes or deletions. */
    @Test
    void viewFollowsTheStore() {
        write(put("/kwb/c/a", "1"), put("/kwb/d", "x"));
        mView.start();
        assertThat(valueText("/kwb/c/a")).isEqualTo("1");
        write(put("/kwb/c/b", "2"), new Operation.Delete("/kwb/c/a"));
        assertThat(mView.list("/kwb/c/").stream().map(KeyEntry::key)).containsExactly("/kwb/c/b");
    }

    /**
     * Guards against a confirmation time that advances without a response, or that is the time of
     * the response instead of the time of the request.
     */
    @Test
    void confirmationTimeIsThatOfTheLastAnsweredRead() {
        mClock.advance(Duration.ofSeconds(1));
        mView.start();
        assertThat(mView.confirmedNanos()).isEqualTo(mClock.monotonicNanos());
        long sentNanos = mClock.monotonicNanos();
        mClient.faults().slow(Duration.ofSeconds(2));
        mView.refresh();
        mClock.advance(Duration.ofSeconds(2));
        mStore.tick();
        assertThat(mView.confirmedNanos()).isEqualTo(sentNanos);
        mClient.faults().slow(Duration.ZERO);
        mClient.faults().down(true);
        mView.refresh();
        assertThat(mView.confirmedNanos()).isEqualTo(sentNanos);
    }

    /** Guards against changes during an outage that the view does not see afterwards. */
    @Test
    void viewRereadsAfterInterruption() {
        write(put("/kwb/c/a", "1"), put("/kwb/c/b", "1"));
        mView.start();
        mClient.faults().down(true);
        write(put("/kwb/c/a", "2"), new Operation.Delete("/kwb/c/b"));
        mStore.compact();
        assertThat(valueText("/kwb/c/a")).isEqualTo("1");
        mClient.faults().down(false);
        assertThat(valueText("/kwb/c/a")).isEqualTo("2");
        assertThat(valueText("/kwb/c/b")).isEqualTo("absent");
    }

    /** Guards against a view that never reads a store that was unreachable at the start. */
    @Test
    void viewStartsWhileStoreIsUnreachable() {
        write(put("/kwb/c/a", "1"));
        mClient.faults().down(true);
        mView.start();
        assertThat(mView.confirmedNanos()).isEqualTo(Long.MIN_VALUE);
        mClient.faults().down(false);
        assertThat(valueText("/kwb/c/a")).isEqualTo("1");
    }

    /** Guards against a delayed response to a read that returns the view to an older state. */
    @Test
    void delayedResponseDoesNotRevertTheView() {
        write(put("/kwb/c/a", "1"), put("/kwb/c/b", "1"));
        mView.start();
        mClient.faults().slow(Duration.ofSeconds(1));
        mView.refresh();
        write(put("/kwb/c/a", "2"), new Operation.Delete("/kwb/c/b"), put("/kwb/c/n", "1"));
        mClock.advance(Duration.ofSeconds(1));
        mStore.tick();
        assertThat(valueText("/kwb/c/a")).isEqualTo("2");
        assertThat(valueText("/kwb/c/b")).isEqualTo("absent");
        assertThat(valueText("/kwb/c/n")).isEqualTo("1");
    }

    /** Guards against listeners that are called for other keys, or not after the initial read. */
    @Test
    void listenersAreCalledForTheirPrefix() {
        AtomicInteger entryCalls = new AtomicInteger();
        AtomicInteger configCalls = new AtomicInteger();
        mView.subscribe("/kwb/c/entry/", entryCalls::incrementAndGet);
        mView.start();
        assertThat(entryCalls.get()).isEqualTo(1);
        mView.subscribe("/kwb/c/config/", configCalls::incrementAndGet);
        assertThat(configCalls.get()).isEqualTo(1);
        write(put("/kwb/c/entry/a", "1"));
        assertThat(entryCalls.get()).isEqualTo(2);
        assertThat(configCalls.get()).isEqualTo(1);
        mView.refresh();
        assertThat(entryCalls.get()).isEqualTo(2);
    }

    /** Guards against a confirmation that needs more than one read for a small prefix. */
    @Test
    void confirmationNeedsOneRead() {
        mView.start();
        long readsBefore = mStore.counters().calls(StoreCallKind.READ);
        mView.refresh();
        assertThat(mStore.counters().calls(StoreCallKind.READ)).isEqualTo(readsBefore + 1);
        assertThat(mStore.counters().calls(StoreCallKind.WATCH)).isEqualTo(1);
    }

    /** Guards against a prefix of several pages that is read incompletely. */
    @Test
    void viewReadsAllPages() {
        for (int i = 0; i < 250; i++) {
            write(put("/kwb/c/entry/" + i, "1"));
        }
        mView.start();
        assertThat(mView.list("/kwb/c/entry/")).hasSize(250);
    }
}
