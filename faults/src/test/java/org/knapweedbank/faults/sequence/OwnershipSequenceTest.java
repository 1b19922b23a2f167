package org.knapweedbank.faults.sequence;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.knapweedbank.standin.AnswerLoss;
import org.knapweedbank.standin.InMemoryStore;
import org.knapweedbank.standin.StoreCallKind;
import org.knapweedbank.standin.StoreClient;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.lease.Ownership;
import org.knapweedbank.store.lease.StoreOwnership;
import org.knapweedbank.time.ManualClock;

/** Compares ownership and leases with a model that knows who holds the partition. */
class OwnershipSequenceTest {
    private static final int ENTRIES = 3;
    private static final Duration LEASE_DURATION = Duration.ofSeconds(5);

    enum Action {
        ACQUIRE,
        ACQUIRE_WITH_LOST_ANSWER,
        RELEASE,
        KEEP_ALIVE,
        WAIT
    }

    record Step(Action action, int entry, int seconds) {}

    /** An entry with its lease and the ownership that it believes in. */
    private static final class Entry {
        private final StoreClient mClient;
        private final StoreOwnership mStore;
        private long mLeaseId;
        private long mLeaseEndNanos;
        private Ownership mOwnership;

        private Entry(InMemoryStore store) {
            mClient = store.client();
            mStore = new StoreOwnership(mClient);
        }
    }

    private ManualClock mClock;
    private InMemoryStore mStore;
    private List<Entry> mEntries;
    private int mOwnerIndex;
    private long mEpoch;

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.of(Action.class),
                        Arbitraries.integers().between(0, ENTRIES - 1),
                        Arbitraries.integers().between(1, 6))
                .as(Step::new)
                .list()
                .ofMaxSize(60);
    }

    /** Guards against two owners at a time, and an epoch that is used again or goes back. */
    @Property(tries = 300, seed = "20261204")
    void hasOneOwnerWithIncreasingEpoch(@ForAll("steps") List<Step> steps) {
        // One instance serves all tries.
        mClock = new ManualClock();
        mStore = new InMemoryStore(mClock);
        mEntries = new ArrayList<>();
        mOwnerIndex = -1;
        mEpoch = 0;
        for (int i = 0; i < ENTRIES; i++) {
            mEntries.add(new Entry(mStore));
        }
        steps.forEach(this::run);
    }

    private static <T> T value(StoreResult<T> result) {
        return ((StoreResult.Succeeded<T>) result).value();
    }

    private long nowNanos() {
        return mClock.monotonicNanos();
    }

    /** Whether the model has an owner whose lease has not ended. */
    private boolean hasOwner() {
        return mOwnerIndex >= 0 && mEntries.get(mOwnerIndex).mLeaseEndNanos > nowNanos();
    }

    private void run(Step step) {
        Entry entry = mEntries.get(step.entry);
        switch (step.action) {
            case ACQUIRE -> acquire(step.entry, entry, false);
            case ACQUIRE_WITH_LOST_ANSWER -> acquire(step.entry, entry, true);
            case RELEASE -> release(step.entry, entry);
            case KEEP_ALIVE -> keepAlive(step.entry, entry);
            case WAIT -> {
                mClock.advance(Duration.ofSeconds(step.seconds));
                mStore.tick();
            }
        }
    }

    private void acquire(int index, Entry entry, boolean answerLost) {
        if (entry.mLeaseEndNanos <= nowNanos()) {
            entry.mLeaseId = value(entry.mClient.grantLease(LEASE_DURATION).await().indefinitely());
            entry.mLeaseEndNanos = nowNanos() + LEASE_DURATION.toNanos();
            if (mOwnerIndex == index) {
                mOwnerIndex = -1;
            }
        }
        boolean ownedByEntry = hasOwner() && mOwnerIndex == index;
        boolean free = !hasOwner();
        if (answerLost) {
            entry.mClient.faults().loseAnswers(StoreCallKind.WRITE, AnswerLoss.AFTER_EFFECT, 1);
        }
        String name = "entry" + index;
        Optional<Ownership> acquired =
                value(entry.mStore.acquire(0, name, name, entry.mLeaseId).await().indefinitely());
        entry.mClient.faults().clear();
        assertWithMessage("%s acquires", name)
                .that(acquired.isPresent())
                .isEqualTo(free || ownedByEntry);
        if (acquired.isPresent()) {
            mEpoch = free ? mEpoch + 1 : mEpoch;
            assertWithMessage("epoch").that(acquired.get().epoch()).isEqualTo(mEpoch);
            mOwnerIndex = index;
            entry.mOwnership = acquired.get();
        }
    }

    private void release(int index, Entry entry) {
        if (entry.mOwnership == null) {
            return;
        }
        boolean current = hasOwner() && mOwnerIndex == index && entry.mOwnership.epoch() == mEpoch;
        boolean released = value(entry.mStore.release(entry.mOwnership).await().indefinitely());
        assertWithMessage("entry%s releases", index).that(released).isEqualTo(current);
        if (released) {
            mOwnerIndex = -1;
            entry.mOwnership = null;
        }
    }

    private void keepAlive(int index, Entry entry) {
        if (entry.mLeaseId == 0) {
            return;
        }
        boolean valid = entry.mLeaseEndNanos > nowNanos();
        boolean kept = value(entry.mClient.keepAlive(entry.mLeaseId).await().indefinitely());
        assertWithMessage("lease of entry%s", index).that(kept).isEqualTo(valid);
        if (kept) {
            entry.mLeaseEndNanos = nowNanos() + LEASE_DURATION.toNanos();
        }
    }
}
