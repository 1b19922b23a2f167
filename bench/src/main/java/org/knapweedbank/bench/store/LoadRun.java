package org.knapweedbank.bench.store;

import io.smallrye.mutiny.Uni;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.standin.InMemoryStore;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.cache.StorePrefixView;
import org.knapweedbank.store.claim.ClaimRequest;
import org.knapweedbank.store.claim.ClaimResult;
import org.knapweedbank.store.claim.ClaimSettings;
import org.knapweedbank.store.claim.ClaimStore;
import org.knapweedbank.store.journal.GroupCommitJournal;
import org.knapweedbank.store.journal.JournalOutcome;
import org.knapweedbank.store.journal.JournalSettings;
import org.knapweedbank.store.lease.DaemonLease;
import org.knapweedbank.store.lease.DaemonLeaseListener;
import org.knapweedbank.store.lease.EntryRegistration;
import org.knapweedbank.store.lease.Ownership;
import org.knapweedbank.store.lease.StoreOwnership;
import org.knapweedbank.time.ManualClock;

/**
 * Applies the load of one run to the in-memory store, in simulated time with random arrivals. Time
 * advances in steps of 1 ms; journals and claim stores are driven every 5 ms, as the daemon threads
 * do.
 */
final class LoadRun {
    private static final Duration STEP_DURATION = Duration.ofMillis(1);

    /** Steps between two ticks of the journals and claim stores. */
    private static final int TICK_INTERVAL_STEPS = 5;

    /** Steps between two ticks of the leases. */
    private static final int LEASE_TICK_INTERVAL_STEPS = 250;

    /** Steps between two confirmations of the prefix views. */
    private static final int VIEW_CONFIRM_INTERVAL_STEPS = 1000;

    private static final double MILLIS_PER_SECOND = 1000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final Duration LEASE_TTL = Duration.ofSeconds(5);

    private final LoadSettings mSettings;
    private final UniformRandomProvider mRandom;
    private final ManualClock mClock = new ManualClock();
    private final InMemoryStore mStore = new InMemoryStore(mClock);
    private final List<GroupCommitJournal> mJournals = new ArrayList<>();
    private final List<ClaimStore> mClaimStores = new ArrayList<>();
    private final List<DaemonLease> mLeases = new ArrayList<>();
    private final List<StorePrefixView> mPrefixViews = new ArrayList<>();
    private final Histogram mCommitMillis = new Histogram(3);
    private final Histogram mClaimMillis = new Histogram(3);
    private final byte[] mSnapshot;
    private long mFailures;
    private long mNextClaimNumber;

    LoadRun(LoadSettings settings) {
        mSettings = settings;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed());
        mSnapshot = new byte[settings.snapshotBytes()];
    }

    /** Runs the load for the simulated time of the settings and returns the result. */
    LoadResult run() {
        for (int i = 0; i < mSettings.partitions(); i++) {
            mJournals.add(openJournal(i));
        }
        for (int i = 0; i < mSettings.entries(); i++) {
            addEntry(i);
        }
        mStore.faults().slow(mSettings.storeDelay());
        long writesBefore = mStore.counters().writes();
        long readsBefore = mStore.counters().reads();
        long bytesBefore = mStore.counters().bytesWritten();
        long cpuBefore = cpuNanos();
        long steps = mSettings.duration().toMillis();
        for (long step = 0; step < steps; step++) {
            runStep(step);
        }
        double seconds = steps / MILLIS_PER_SECOND;
        return new LoadResult(
                (mStore.counters().writes() - writesBefore) / seconds,
                (mStore.counters().reads() - readsBefore) / seconds,
                (mStore.counters().bytesWritten() - bytesBefore) / seconds,
                mStore.counters().largestValue(),
                mCommitMillis,
                mClaimMillis,
                (cpuNanos() - cpuBefore) / NANOS_PER_SECOND / seconds,
                mFailures);
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    /** Returns the value of a store call, which must succeed. */
    private static <T> T awaitValue(Uni<StoreResult<T>> call) {
        return switch (call.await().indefinitely()) {
            case StoreResult.Succeeded<T>(T value) -> value;
            case StoreResult<T> other -> throw new IllegalStateException(other.toString());
        };
    }

    /** Acquires the ownership of a partition and loads its journal. */
    private GroupCommitJournal openJournal(int partition) {
        long lease = awaitValue(mStore.grantLease(Duration.ofHours(1)));
        Ownership ownership =
                awaitValue(new StoreOwnership(mStore).acquire(partition, "e", "e:1", lease))
                        .orElseThrow();
        GroupCommitJournal journal =
                new GroupCommitJournal(mStore, mClock, ownership, JournalSettings.standard());
        awaitValue(journal.load());
        return journal;
    }

    /** Adds an entry with its claim store, its lease and its prefix view. */
    private void addEntry(int index) {
        ClaimStore claimStore = new ClaimStore(mStore, mClock, ClaimSettings.standard());
        claimStore.setEntryCount(mSettings.shareWindow() ? mSettings.entries() : 1);
        claimStore.tick();
        mClaimStores.add(claimStore);
        EntryRegistration registration =
                new EntryRegistration(
                        new DaemonId("e" + index), 1, new DataCentreId("dc"), "a", "b", "c");
        mLeases.add(
                new DaemonLease(
                        mStore,
                        mClock,
                        LEASE_TTL,
                        registration.key(),
                        registration.encode(),
                        new LeaseLossCounter()));
        StorePrefixView view = new StorePrefixView(mStore, "/kwb/c/", mClock);
        view.start();
        mPrefixViews.add(view);
    }

    /** Counts each lost lease as a failure. */
    private final class LeaseLossCounter implements DaemonLeaseListener {
        @Override
        public void leaseAcquired(long leaseId) {}

        @Override
        public void leaseLost(long leaseId) {
            mFailures++;
        }
    }

    /**
     * Advances time by one step, adds the arrivals of the step and drives the components that are
     * due.
     */
    private void runStep(long step) {
        mClock.advance(STEP_DURATION);
        mStore.tick();
        generateArrivals(
                mSettings.startsPerSecond() * mSettings.recordsPerStart(), this::appendRecord);
        generateArrivals(mSettings.claimsPerSecond(), this::submitClaim);
        if (step % TICK_INTERVAL_STEPS == 0) {
            mJournals.forEach(GroupCommitJournal::tick);
            mClaimStores.forEach(ClaimStore::tick);
            mJournals.stream()
                    .filter(journal -> journal.segmentCount() >= mSettings.segmentsPerSnapshot())
                    .forEach(journal -> journal.compact(mSnapshot, ignored -> {}));
        }
        if (step % LEASE_TICK_INTERVAL_STEPS == 0) {
            mLeases.forEach(DaemonLease::tick);
        }
        if (step % VIEW_CONFIRM_INTERVAL_STEPS == 0) {
            mPrefixViews.forEach(StorePrefixView::refresh);
        }
    }

    /**
     * Calls an action for each arrival of one step, with the present time in milliseconds. The
     * number of arrivals has a Poisson distribution and is drawn by Knuth's method, which suits a
     * mean of at most a few arrivals.
     */
    private void generateArrivals(int perSecond, Consumer<Long> action) {
        double limit = Math.exp(-perSecond / MILLIS_PER_SECOND);
        double product = mRandom.nextDouble();
        while (product > limit) {
            action.accept(mClock.monotonicMillis());
            product *= mRandom.nextDouble();
        }
    }

    /** Appends a random record to a random journal and measures the time until its commit. */
    private void appendRecord(long startMillis) {
        byte[] record = new byte[mSettings.recordBytes()];
        mRandom.nextBytes(record);
        GroupCommitJournal journal = mJournals.get(mRandom.nextInt(mJournals.size()));
        boolean accepted =
                journal.append(
                        record,
                        outcome -> {
                            mCommitMillis.recordValue(mClock.monotonicMillis() - startMillis);
                            mFailures += outcome instanceof JournalOutcome.Committed ? 0 : 1;
                        });
        mFailures += accepted ? 0 : 1;
    }

    /** Claims a new key at a random entry and measures the time until the result. */
    private void submitClaim(long startMillis) {
        String id = "attempt-" + mNextClaimNumber++;
        mClaimStores
                .get(mRandom.nextInt(mClaimStores.size()))
                .claim(new ClaimRequest("holds", "key-" + id, id, "agent-of-" + id))
                .subscribe()
                .with(
                        result -> {
                            mClaimMillis.recordValue(mClock.monotonicMillis() - startMillis);
                            mFailures += result instanceof ClaimResult.Granted ? 0 : 1;
                        });
    }
}
