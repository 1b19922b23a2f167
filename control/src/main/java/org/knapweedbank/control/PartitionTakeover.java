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

/** Takes partitions without an owner and reads their journals. Runs on the control thread. */
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
    private final Taken mTaken;
    private final Set<Integer> mCalling = new HashSet<>();
    private final Map<Integer, Long> mOwnerlessSince = new HashMap<>();

    /** Told about partitions that this entry has taken. */
    @FunctionalInterface
    interface Taken {
        void taken(Ownership ownership, PartitionJournal journal, List<JournalRecord> records);
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
            Taken taken) {
        mSettings = settings;
        mIdentity = identity;
        mClock = clock;
        mView = view;
        mOwnerships = ownerships;
        mJournals = journals;
        mLease = lease;
        mOnControlThread = onControlThread;
        mTaken = taken;
    }

    /** Owner of a partition as last seen in the store. */
    Optional<Ownership> owner(int partition) {
        return mView.get(StoreOwnership.ownerKey(partition)).flatMap(StoreOwnership::decode);
    }

    /** True unless the store names another owner or none. */
    boolean isCurrent(Ownership ownership) {
        return owner(ownership.partition())
                .filter(owner -> owner.epoch() >= ownership.epoch())
                .map(owner -> owner.epoch() == ownership.epoch())
                .orElseGet(() -> isNewerThanView(ownership));
    }

    /** The view may lag behind an ownership that has just been acquired. */
    private boolean isNewerThanView(Ownership ownership) {
        return mView.get(StoreOwnership.epochKey(ownership.partition()))
                .flatMap(StoreOwnership::decode)
                .map(seen -> seen.epoch() < ownership.epoch())
                .orElse(true);
    }

    /** True while no call about an ownership is under way. */
    boolean isIdle() {
        return mCalling.isEmpty();
    }

    /** Tries to take the partitions that have no owner, in the order of the entries' ranks. */
    void takeOwnerless(SiteConfiguration configuration, Set<Integer> owned) {
        OptionalLong lease = mLease.get();
        if (lease.isEmpty()) {
            mOwnerlessSince.clear();
            return;
        }
        for (int partition = 0; partition < Partitions.count(configuration); partition++) {
            boolean taken =
                    owned.contains(partition)
                            || mCalling.contains(partition)
                            || isOwnedElsewhere(partition);
            if (taken) {
                mOwnerlessSince.remove(partition);
            } else if (isDue(configuration, partition)) {
                acquire(partition, lease.getAsLong());
            }
        }
    }

    /**
     * An owner key that names this entry, though it does not run the partition, is left from a
     * release that failed; acquiring it again returns the ownership or waits for the old lease.
     */
    private boolean isOwnedElsewhere(int partition) {
        return owner(partition)
                .filter(owner -> !owner.ownerId().equals(mIdentity.id()))
                .isPresent();
    }

    private boolean isDue(SiteConfiguration configuration, int partition) {
        long now = mClock.monotonicNanos();
        long since = mOwnerlessSince.computeIfAbsent(partition, key -> now);
        return now - since >= mSettings.takeoverDelay().toNanos() * rank(configuration, partition);
    }

    /** Entries in the region of the partition go first, in rendezvous order. */
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
        mCalling.add(partition);
        mOwnerships
                .acquire(partition, mIdentity.id(), mIdentity.frameAddress(), lease)
                .subscribe()
                .with(
                        result -> mOnControlThread.accept(() -> acquired(partition, result)),
                        failure -> ended(partition));
    }

    private void acquired(int partition, StoreResult<Optional<Ownership>> result) {
        Optional<Ownership> ownership =
                result
                                instanceof
                                StoreResult.Succeeded<Optional<Ownership>>(Optional<Ownership> won)
                        ? won
                        : Optional.empty();
        if (ownership.isEmpty()) {
            mCalling.remove(partition);
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
            mCalling.remove(ownership.partition());
            mTaken.taken(ownership, journal, records);
        } catch (JournalFormatException e) {
            LOG.error("[control] journal of {} is damaged", ownership.partition(), e);
            abandon(ownership, journal, e.getMessage());
        }
    }

    /** Gives up an ownership whose journal could not be read; it is tried again. */
    private void abandon(Ownership ownership, PartitionJournal journal, String reason) {
        LOG.warn("[control] journal of {} not loaded: {}", ownership.partition(), reason);
        journal.close();
        release(ownership);
    }

    /** Gives up an ownership, so that another entry can take the partition at once. */
    void release(Ownership ownership) {
        mCalling.add(ownership.partition());
        mOwnerships
                .release(ownership)
                .subscribe()
                .with(
                        done -> ended(ownership.partition()),
                        failure -> ended(ownership.partition()));
    }

    private void ended(int partition) {
        mOnControlThread.accept(() -> mCalling.remove(partition));
    }
}
