package org.knapweedbank.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.config.DataCentreSettings;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.store.StoreResult;
import org.knapweedbank.store.cache.PrefixView;
import org.knapweedbank.store.journal.JournalContents;
import org.knapweedbank.store.journal.PartitionJournal;
import org.knapweedbank.store.lease.EntryRegistration;
import org.knapweedbank.store.lease.Ownership;
import org.knapweedbank.store.lease.OwnershipStore;
import org.knapweedbank.store.lease.StoreOwnership;
import org.knapweedbank.time.Clock;

/**
 * Acquires partitions that have no owner, loads their journals, and releases ownerships. Not
 * thread-safe; used on the control thread only.
 */
final class PartitionTakeover {
    private static final Logger LOG = LogManager.getLogger(PartitionTakeover.class);

    private final ControlSettings mSettings;
    private final EntryIdentity mIdentity;
    private final Clock mClock;
    private final PrefixView mView;
    private final OwnershipStore mOwnerships;
    private final JournalFactory mJournals;
    private final Supplier<OptionalLong> mLease;
    private final Consumer<Runnable> mOnControlThread;
    private final TakeoverListener mListener;

    /** Partitions with an acquisition, journal load or release in flight. */
    private final Set<Integer> mPendingCalls = new HashSet<>();

    /** Monotonic time at which a partition was first seen without an owner, by partition. */
    private final Map<Integer, Long> mUnownedSinceNanos = new HashMap<>();

    /** Receives the partitions that this entry has acquired. */
    @FunctionalInterface
    interface TakeoverListener {
        void partitionTaken(
                Ownership ownership, PartitionJournal journal, List<JournalRecord> records);
    }

    PartitionTakeover(
            ControlSettings settings,
            EntryIdentity identity,
            Clock clock,
            PrefixView view,
            OwnershipStore ownerships,
            JournalFactory journals,
            Supplier<OptionalLong> lease,
            Consumer<Runnable> onControlThread,
            TakeoverListener listener) {
        mSettings = settings;
        mIdentity = identity;
        mClock = clock;
        mView = view;
        mOwnerships = ownerships;
        mJournals = journals;
        mLease = lease;
        mOnControlThread = onControlThread;
        mListener = listener;
    }

    /** Returns the owner of a partition as last seen in the store. */
    Optional<Ownership> owner(int partition) {
        return mView.get(StoreOwnership.ownerKey(partition)).flatMap(StoreOwnership::decode);
    }

    /** Returns false if the store, as last seen, names another owner or none. */
    boolean isCurrent(Ownership ownership) {
        return owner(ownership.partition())
                .filter(owner -> owner.epoch() >= ownership.epoch())
                .map(owner -> owner.epoch() == ownership.epoch())
                .orElseGet(() -> isNewerThanView(ownership));
    }

    /**
     * Returns true if the cached view of the store does not include the ownership yet; the view may
     * lag behind an acquisition.
     */
    private boolean isNewerThanView(Ownership ownership) {
        return mView.get(StoreOwnership.epochKey(ownership.partition()))
                .flatMap(StoreOwnership::decode)
                .map(seen -> seen.epoch() < ownership.epoch())
                .orElse(true);
    }

    /** Returns true if no acquisition, journal load or release is in flight. */
    boolean isIdle() {
        return mPendingCalls.isEmpty();
    }

    /**
     * Tries to acquire the partitions without an owner whose takeover delay has passed; the delay
     * grows with the rank of this entry.
     *
     * @param owned partitions that this entry owns already
     */
    void takeUnownedPartitions(SiteConfiguration configuration, Set<Integer> owned) {
        OptionalLong lease = mLease.get();
        if (lease.isEmpty()) {
            mUnownedSinceNanos.clear();
            return;
        }
        for (int partition = 0; partition < Partitions.count(configuration); partition++) {
            boolean unavailable =
                    owned.contains(partition)
                            || mPendingCalls.contains(partition)
                            || isOwnedElsewhere(partition);
            if (unavailable) {
                mUnownedSinceNanos.remove(partition);
            } else if (isTakeoverDue(configuration, partition)) {
                acquire(partition, lease.getAsLong());
            }
        }
    }

    /**
     * Returns true if another entry owns the partition. An owner key that names this entry although
     * it does not run the partition remains from a failed release; acquiring it again either
     * returns the ownership or waits for the old lease to expire.
     */
    private boolean isOwnedElsewhere(int partition) {
        return owner(partition)
                .filter(owner -> !owner.ownerId().equals(mIdentity.id()))
                .isPresent();
    }

    private boolean isTakeoverDue(SiteConfiguration configuration, int partition) {
        long now = mClock.monotonicNanos();
        long sinceNanos = mUnownedSinceNanos.computeIfAbsent(partition, key -> now);
        return now - sinceNanos
                >= mSettings.takeoverDelay().toNanos() * rank(configuration, partition);
    }

    /**
     * Returns the rank of this entry for the takeover of a partition. Entries in the partition's
     * region come first; within both groups, entries are ranked by rendezvous hashing.
     */
    private int rank(SiteConfiguration configuration, int partition) {
        List<String> entries =
                mView.list(EntryRegistration.PREFIX).stream()
                        .map(entry -> entry.key().substring(EntryRegistration.PREFIX.length()))
                        .toList();
        int rank = Partitions.rank(partition, mIdentity.id(), entries);
        boolean local = region(configuration).equals(Partitions.region(configuration, partition));
        return local ? rank : entries.size() + rank;
    }

    private Optional<String> region(SiteConfiguration configuration) {
        return configuration.dataCentres().stream()
                .filter(dataCentre -> dataCentre.id().equals(mIdentity.dataCentre()))
                .map(DataCentreSettings::region)
                .findFirst();
    }

    private void acquire(int partition, long lease) {
        mPendingCalls.add(partition);
        mOwnerships
                .acquire(partition, mIdentity.id(), mIdentity.frameAddress(), lease)
                .subscribe()
                .with(
                        result -> mOnControlThread.accept(() -> acquired(partition, result)),
                        failure -> callEnded(partition));
    }

    private void acquired(int partition, StoreResult<Optional<Ownership>> result) {
        Optional<Ownership> ownership =
                result
                                instanceof
                                StoreResult.Succeeded<Optional<Ownership>>(Optional<Ownership> won)
                        ? won
                        : Optional.empty();
        if (ownership.isEmpty()) {
            mPendingCalls.remove(partition);
            return;
        }
        LOG.info("[control] owns partition {} with epoch {}", partition, ownership.get().epoch());
        load(ownership.get(), mJournals.open(ownership.get()));
    }

    private void load(Ownership ownership, PartitionJournal journal) {
        journal.load()
                .subscribe()
                .with(
                        result -> mOnControlThread.accept(() -> loaded(ownership, journal, result)),
                        failure ->
                                mOnControlThread.accept(
                                        () -> abandon(ownership, journal, failure.toString())));
    }

    private void loaded(
            Ownership ownership, PartitionJournal journal, StoreResult<JournalContents> result) {
        if (!(result instanceof StoreResult.Succeeded<JournalContents>(JournalContents contents))) {
            abandon(ownership, journal, result.toString());
            return;
        }
        try {
            List<JournalRecord> records = JournalReplay.records(contents);
            mPendingCalls.remove(ownership.partition());
            mListener.partitionTaken(ownership, journal, records);
        } catch (JournalFormatException e) {
            LOG.error("[control] journal of {} is damaged", ownership.partition(), e);
            abandon(ownership, journal, e.getMessage());
        }
    }

    /** Releases an ownership whose journal could not be loaded; the takeover is retried later. */
    private void abandon(Ownership ownership, PartitionJournal journal, String reason) {
        LOG.warn(
                "[control] journal of partition {} could not be loaded: {}",
                ownership.partition(),
                reason);
        journal.close();
        release(ownership);
    }

    /** Releases an ownership, so that another entry can take over the partition at once. */
    void release(Ownership ownership) {
        mPendingCalls.add(ownership.partition());
        mOwnerships
                .release(ownership)
                .subscribe()
                .with(
                        done -> callEnded(ownership.partition()),
                        failure -> callEnded(ownership.partition()));
    }

    private void callEnded(int partition) {
        mOnControlThread.accept(() -> mPendingCalls.remove(partition));
    }
}
