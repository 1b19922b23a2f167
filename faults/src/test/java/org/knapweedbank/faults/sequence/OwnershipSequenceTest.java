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

/** Compares the ownership in the store with a model that knows which entry owns the partition. */
class OwnershipSequenceTest {
    private static final int ENTRY_COUNT = 3;
    private static final Duration LEASE_DURATION = Duration.ofSeconds(5);

    /** Calls of an entry, and the passing of time. */
    enum Action {
        ACQUIRE,
        ACQUIRE_WITH_LOST_ANSWER,
        RELEASE,
        KEEP_ALIVE,
        WAIT
    }

    /**
     * One step of a generated sequence.
     *
     * @param entry index of the entry
     * @param seconds time that passes with {@link Action#WAIT}
     */
    record Step(Action action, int entry, int seconds) {}

    /** An entry with its lease and the ownership that it has acquired. */
    private static final class Entry {
        private final StoreClient mClient;
        private final StoreOwnership mStore;

        /** Id of the lease, or 0. */
        private long mLeaseId;

        /** Time at which the lease ends unless it is renewed. */
        private long mLeaseEndNanos;

        /**
         * Last acquired ownership that has not been released, which may be outdated; null without
         * one.
         */
        private Ownership mOwnership;

        private Entry(InMemoryStore store) {
            mClient = store.client();
            mStore = new StoreOwnership(mClient);
        }
    }

    private ManualClock mClock;
    private InMemoryStore mStore;
    private List<Entry> mEntries;

    /** Index of the last owner in the model, or -1. */
    private int mOwnerIndex;

    /** Epoch of the last ownership in the model. */
    private long mEpoch;

    /** Generates sequences of up to 60 steps. */
    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.of(Action.class),
                        Arbitraries.integers().between(0, ENTRY_COUNT - 1),
                        Arbitraries.integers().between(1, 6))
                .as(Step::new)
                .list()
                .ofMaxSize(60);
    }

    /**
     * Guards against two owners at the same time, and against an epoch that is reused or decreases.
     */
    @Property(tries = 300, seed = "20261204")
    void hasOneOwnerWithIncreasingEpoch(@ForAll("steps") List<Step> steps) {
        // jqwik uses one instance for all tries.
        mClock = new ManualClock();
        mStore = new InMemoryStore(mClock);
        mEntries = new ArrayList<>();
        mOwnerIndex = -1;
        mEpoch = 0;
        for (int i = 0; i < ENTRY_COUNT; i++) {
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

    /** Returns whether the model has an owner whose lease has not ended. */
    private boolean hasOwner() {
        return mOwnerIndex >= 0 && mEntries.get(mOwnerIndex).mLeaseEndNanos > nowNanos();
    }

    /** Performs a step on the store and the model. */
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

    /**
     * Acquires the partition, with a new lease if needed, and checks whether that succeeds and with
     * which epoch.
     *
     * @param answerLost whether the first answer of the store is lost after the effect
     */
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
        assertWithMessage("whether %s acquires the partition", name)
                .that(acquired.isPresent())
                .isEqualTo(free || ownedByEntry);
        if (acquired.isPresent()) {
            mEpoch = free ? mEpoch + 1 : mEpoch;
            assertWithMessage("epoch").that(acquired.get().epoch()).isEqualTo(mEpoch);
            mOwnerIndex = index;
            entry.mOwnership = acquired.get();
        }
    }

    /** Releases the ownership and checks that this succeeds only for the current owner. */
    private void release(int index, Entry entry) {
        if (entry.mOwnership == null) {
            return;
        }
        boolean current = hasOwner() && mOwnerIndex == index && entry.mOwnership.epoch() == mEpoch;
        boolean released = value(entry.mStore.release(entry.mOwnership).await().indefinitely());
        assertWithMessage("whether entry%s releases the partition", index)
                .that(released)
                .isEqualTo(current);
        if (released) {
            mOwnerIndex = -1;
            entry.mOwnership = null;
        }
    }

    /** Renews the lease and checks that this succeeds only before its end. */
    private void keepAlive(int index, Entry entry) {
        if (entry.mLeaseId == 0) {
            return;
        }
        boolean valid = entry.mLeaseEndNanos > nowNanos();
        boolean kept = value(entry.mClient.keepAlive(entry.mLeaseId).await().indefinitely());
        assertWithMessage("whether the lease of entry%s is renewed", index)
                .that(kept)
                .isEqualTo(valid);
        if (kept) {
            entry.mLeaseEndNanos = nowNanos() + LEASE_DURATION.toNanos();
        }
    }
}
