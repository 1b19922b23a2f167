package org.knapweedbank.node.entry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.node.Timers;
import org.knapweedbank.node.store.CoordinationStore;
import org.knapweedbank.node.store.LeaseOutcome;
import org.knapweedbank.node.store.PrefixWatch;
import org.knapweedbank.node.store.StoreChange;
import org.knapweedbank.node.store.StoreItem;
import org.knapweedbank.node.store.WriteOutcome;

/**
 * Keeps this entry's keys in the store and elects the owner. The owner's key lives under the lease
 * of its entry and only shows that the owner lives; what makes an owner is the number of its term,
 * which each takeover raises, and whose revision guards each of its writes.
 */
final class Election implements PrefixWatch.Listener {
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(450);
    private static final Duration MAX_WATCH_WAIT = Duration.ofMillis(1_000);
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    /** Head start of each stronger entry when the owner's key is missing. */
    private static final Duration RANK_DELAY = Duration.ofMillis(120);

    private final EntrySettings mSettings;
    private final CoordinationStore mStore;
    private final Timers mTimers;
    private final DecisionLog mLog;
    private final ElectionListener mListener;
    private MembershipView mView = new MembershipView(Map.of());
    private boolean mViewLoaded;
    private long mLeaseId;
    private boolean mLeaseCallPending;
    private boolean mCandidacyPending;
    private long mOwnTerm;
    private boolean mResigned;
    private boolean mLeft;
    private boolean mStoreUnavailable;

    Election(
            EntrySettings settings,
            CoordinationStore store,
            Timers timers,
            DecisionLog log,
            ElectionListener listener) {
        mSettings = settings;
        mStore = store;
        mTimers = timers;
        mLog = log;
        mListener = listener;
    }

    void start() {
        openOrRenewLease();
        mTimers.every(RENEWAL_INTERVAL, this::openOrRenewLease);
        new PrefixWatch(
                        mStore,
                        mTimers,
                        StoreKeys.MEMBERSHIP_PREFIX,
                        MAX_WATCH_WAIT,
                        RETRY_DELAY,
                        this)
                .start();
    }

    /** Gives the ownership up and does not run for it again. */
    void resign(Runnable done) {
        mResigned = true;
        if (mOwnTerm == 0 || mLeaseId == 0) {
            done.run();
            return;
        }
        mLog.record("election.resign", mOwnTerm);
        mOwnTerm = 0;
        StoreChange change =
                new StoreChange()
                        .expect(StoreKeys.OWNER, mView.ownerRevision())
                        .remove(StoreKeys.OWNER);
        mStore.write(change, outcome -> done.run());
    }

    /** Removes this entry's keys. */
    void leave(Runnable done) {
        mResigned = true;
        mLeft = true;
        if (mLeaseId == 0) {
            done.run();
        } else {
            mStore.endLease(mLeaseId, outcome -> done.run());
        }
    }

    /** Addresses of all entries, the owner's first. */
    List<String> addresses() {
        return EntryDirectory.addresses(mView);
    }

    private void openOrRenewLease() {
        if (mLeaseCallPending || mLeft) {
            return;
        }
        mLeaseCallPending = true;
        if (mLeaseId == 0) {
            mStore.openLease(mSettings.leaseTtl(), this::leaseOpened);
        } else {
            mStore.renewLease(mLeaseId, this::leaseRenewed);
        }
    }

    private void leaseOpened(LeaseOutcome outcome) {
        mLeaseCallPending = false;
        if (outcome instanceof LeaseOutcome.Held held) {
            mLeaseId = held.lease();
            recordStoreState(true, "");
            publishEntry();
            scheduleCandidacy();
        } else {
            recordStoreState(false, outcome.toString());
            mTimers.after(RETRY_DELAY, this::openOrRenewLease);
        }
    }

    private void leaseRenewed(LeaseOutcome outcome) {
        mLeaseCallPending = false;
        switch (outcome) {
            case LeaseOutcome.Held ignored -> recordStoreState(true, "");
            case LeaseOutcome.Ended ignored -> {
                mLog.record("election.lease_ended", mLeaseId);
                mLeaseId = 0;
                openOrRenewLease();
            }
            case LeaseOutcome.Unavailable unavailable -> {
                recordStoreState(false, unavailable.reason());
                mTimers.after(RETRY_DELAY, this::openOrRenewLease);
            }
        }
    }

    private void publishEntry() {
        StoreChange change = new StoreChange();
        String value = mSettings.address() + "\n" + mSettings.cpuShare();
        change.put(
                StoreKeys.entry(mSettings.entry()),
                value.getBytes(StandardCharsets.UTF_8),
                mLeaseId);
        long leaseId = mLeaseId;
        mStore.write(
                change,
                outcome -> {
                    if (leaseId == mLeaseId && !(outcome instanceof WriteOutcome.Written)) {
                        mTimers.after(RETRY_DELAY, this::republishEntry);
                    }
                });
    }

    private void republishEntry() {
        if (mLeaseId != 0) {
            publishEntry();
        }
    }

    @Override
    public void itemsRefreshed(Map<String, StoreItem> items) {
        recordStoreState(true, "");
        mView = new MembershipView(items);
        mViewLoaded = true;
        viewChanged();
    }

    @Override
    public void storeUnavailable(String reason) {
        recordStoreState(false, reason);
    }

    private void viewChanged() {
        Optional<OwnerRecord> owner = mView.owner();
        if (mOwnTerm > 0 && mView.term() > mOwnTerm) {
            depose(mView.term());
        }
        boolean ownsKey = owner.isPresent() && isOwnRecord(owner.get());
        if (ownsKey && mOwnTerm == 0 && !mResigned && owner.get().term() == mView.term()) {
            elected(owner.get().term(), mView.termRevision());
        } else if (mOwnTerm > 0 && mView.term() == mOwnTerm) {
            mListener.termConfirmed(mOwnTerm);
        } else if (!ownsKey) {
            owner.ifPresent(found -> mListener.ownerFound(found.address(), found.term()));
        }
        scheduleCandidacy();
    }

    private boolean isOwnRecord(OwnerRecord owner) {
        return owner.entry().equals(mSettings.entry().value())
                && owner.processStartMillis() == mSettings.processStartMillis();
    }

    /** Stands for election if the owner's key is missing, after the head start of the others. */
    private void scheduleCandidacy() {
        boolean ownerMissing = mViewLoaded && mView.ownerRevision() == 0;
        boolean viewOutdated = mOwnTerm > mView.term();
        if (!ownerMissing || viewOutdated || mCandidacyPending || mResigned || mLeaseId == 0) {
            return;
        }
        mCandidacyPending = true;
        Duration delay = mOwnTerm > 0 ? Duration.ZERO : RANK_DELAY.multipliedBy(rank());
        mTimers.after(delay, this::claimIfOwnerMissing);
    }

    private int rank() {
        Comparator<Map.Entry<String, String>> byCpuShare =
                Comparator.comparingDouble((Map.Entry<String, String> e) -> -cpuShare(e.getValue()))
                        .thenComparing(Map.Entry::getKey);
        List<String> rankedKeys =
                mView.entries().entrySet().stream()
                        .sorted(byCpuShare)
                        .map(Map.Entry::getKey)
                        .toList();
        return Math.max(0, rankedKeys.indexOf(StoreKeys.entry(mSettings.entry())));
    }

    private static double cpuShare(String entryValue) {
        String[] fields = entryValue.split("\n", -1);
        return fields.length < 2 ? 0 : Double.parseDouble(fields[1]);
    }

    /**
     * Stands against an owner that lives but can't write, if the store answers here. An outage of
     * the whole store changes nothing that way.
     *
     * @param term term of the owner that asks for it
     */
    void takeOver(long term) {
        if (mOwnTerm > 0
                || mCandidacyPending
                || mResigned
                || mLeaseId == 0
                || mView.term() != term) {
            return;
        }
        mCandidacyPending = true;
        mLog.record("election.asked", term);
        mStore.renewLease(
                mLeaseId,
                outcome -> {
                    if (outcome instanceof LeaseOutcome.Held && mView.term() == term) {
                        claimOwnership();
                    } else {
                        mCandidacyPending = false;
                    }
                });
    }

    private void claimIfOwnerMissing() {
        if (mView.ownerRevision() != 0) {
            mCandidacyPending = false;
        } else {
            claimOwnership();
        }
    }

    /** Writes the owner's key in place of the one that is known, if any. */
    private void claimOwnership() {
        if (mResigned || mLeaseId == 0) {
            mCandidacyPending = false;
            return;
        }
        boolean sameTerm = mOwnTerm > 0 && mView.term() == mOwnTerm;
        long term = sameTerm ? mOwnTerm : mView.term() + 1;
        OwnerRecord record =
                new OwnerRecord(
                        mSettings.entry().value(),
                        mSettings.processStartMillis(),
                        mSettings.address(),
                        term);
        StoreChange change =
                new StoreChange()
                        .expect(StoreKeys.OWNER, mView.ownerRevision())
                        .expect(StoreKeys.TERM, mView.termRevision())
                        .put(StoreKeys.OWNER, record.encode(), mLeaseId);
        if (!sameTerm) {
            byte[] value = Long.toString(term).getBytes(StandardCharsets.UTF_8);
            change.put(StoreKeys.TERM, value, 0);
        }
        mStore.write(change, outcome -> claimFinished(term, sameTerm, outcome));
    }

    private void claimFinished(long term, boolean sameTerm, WriteOutcome outcome) {
        mCandidacyPending = false;
        mLog.record("election.stood", term, "outcome", outcome.getClass().getSimpleName());
        switch (outcome) {
            case WriteOutcome.Written written -> {
                if (!sameTerm) {
                    elected(term, written.revision());
                }
            }
            case WriteOutcome.Conflict ignored -> {}
            case WriteOutcome.LeaseEnded ignored -> {
                mLeaseId = 0;
                openOrRenewLease();
            }
            case WriteOutcome.NotDone ignored ->
                    mTimers.after(RETRY_DELAY, this::scheduleCandidacy);
            case WriteOutcome.Unknown ignored ->
                    mTimers.after(RETRY_DELAY, this::scheduleCandidacy);
        }
    }

    private void elected(long term, long termRevision) {
        if (term <= mOwnTerm || mResigned) {
            return;
        }
        if (mOwnTerm > 0) {
            depose(term);
        }
        mOwnTerm = term;
        mLog.record("election.won", term);
        mListener.elected(term, termRevision);
    }

    private void depose(long newerTerm) {
        mLog.record("election.deposed", mOwnTerm, "newest", newerTerm);
        mOwnTerm = 0;
        mListener.deposed(newerTerm);
    }

    /** Takes word from a guarded write that a later term has begun. */
    void newerTermWritten() {
        if (mOwnTerm > 0) {
            depose(mView.term());
        }
    }

    /**
     * Takes word of another entry that a later term has begun, which the store may not tell.
     *
     * @param term the later term
     */
    void superseded(long term) {
        if (mOwnTerm > 0 && term > mOwnTerm) {
            depose(term);
        }
    }

    private void recordStoreState(boolean available, String cause) {
        if (available == mStoreUnavailable) {
            mStoreUnavailable = !available;
            mLog.record(available ? "store.regained" : "store.lost", "store", "cause", cause);
        }
    }
}
