package org.knapweedbank.node.entry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
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
 * Registers this entry in the store and elects the owner. The owner's key is attached to the lease
 * of its entry and only shows that the owner is alive. Ownership itself is defined by the term:
 * each takeover increments it, and every write of an owner is conditional on the revision of the
 * term key.
 */
final class Election implements PrefixWatch.Listener {
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(450);
    private static final Duration MAX_WATCH_WAIT = Duration.ofMillis(1_000);
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    /**
     * Delay per rank before an entry claims a missing owner key, so that the best candidate claims
     * it first.
     */
    private static final Duration RANK_DELAY = Duration.ofMillis(120);

    private final EntrySettings mSettings;
    private final CoordinationStore mStore;
    private final Timers mTimers;
    private final DecisionLog mLog;
    private final ElectionListener mListener;
    private MembershipView mView = new MembershipView(Map.of());
    private boolean mViewLoaded;

    /** Lease of this entry's keys, 0 if there is none. */
    private long mLeaseId;

    private boolean mLeaseCallPending;

    /** True while a claim is scheduled or being written. */
    private boolean mClaimPending;

    /** Term of which this entry is the owner, 0 if it is not the owner. */
    private long mOwnTerm;

    private boolean mResigned;
    private boolean mDeregistered;
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
                        mLog,
                        StoreKeys.MEMBERSHIP_PREFIX,
                        MAX_WATCH_WAIT,
                        RETRY_DELAY,
                        this)
                .start();
    }

    /** Gives up the ownership and takes no further part in elections. */
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

    /** Ends the lease of this entry's keys, which removes them, and does not register again. */
    void deregister(Runnable done) {
        mResigned = true;
        mDeregistered = true;
        if (mLeaseId == 0) {
            done.run();
        } else {
            mStore.endLease(mLeaseId, outcome -> done.run());
        }
    }

    /** Returns the addresses of all entries, the owner's first. */
    List<String> addresses() {
        return EntryDirectory.addresses(mView);
    }

    private void openOrRenewLease() {
        if (mLeaseCallPending || mDeregistered) {
            return;
        }
        mLeaseCallPending = true;
        if (mLeaseId == 0) {
            mStore.openLease(mSettings.leaseTtl(), this::handleLeaseOpened);
        } else {
            mStore.renewLease(mLeaseId, this::handleLeaseRenewed);
        }
    }

    private void handleLeaseOpened(LeaseOutcome outcome) {
        mLeaseCallPending = false;
        if (outcome instanceof LeaseOutcome.Held held) {
            mLeaseId = held.lease();
            logStoreState(true, "");
            register();
            scheduleClaim();
        } else {
            logStoreState(false, outcome.toString());
            mTimers.after(RETRY_DELAY, this::openOrRenewLease);
        }
    }

    private void handleLeaseRenewed(LeaseOutcome outcome) {
        mLeaseCallPending = false;
        switch (outcome) {
            case LeaseOutcome.Held ignored -> logStoreState(true, "");
            case LeaseOutcome.Ended ignored -> {
                mLog.record("election.lease_ended", mLeaseId);
                mLeaseId = 0;
                openOrRenewLease();
            }
            case LeaseOutcome.Unavailable unavailable -> {
                logStoreState(false, unavailable.reason());
                mTimers.after(RETRY_DELAY, this::openOrRenewLease);
            }
        }
    }

    /** Writes the record of this entry under its lease, with retries. */
    private void register() {
        StoreChange change = new StoreChange();
        EntryRecord record =
                new EntryRecord(
                        mSettings.address(), mSettings.cpuShare(), mSettings.processStartMillis());
        change.put(StoreKeys.entry(mSettings.entry()), record.encode(), mLeaseId);
        long leaseId = mLeaseId;
        mStore.write(
                change,
                outcome -> {
                    if (leaseId == mLeaseId && !(outcome instanceof WriteOutcome.Written)) {
                        mTimers.after(RETRY_DELAY, this::retryRegistration);
                    }
                });
    }

    private void retryRegistration() {
        if (mLeaseId != 0) {
            register();
        }
    }

    @Override
    public void itemsRefreshed(Map<String, StoreItem> items) {
        logStoreState(true, "");
        mView = new MembershipView(items);
        mViewLoaded = true;
        handleViewChange();
    }

    @Override
    public void storeUnavailable(String reason) {
        logStoreState(false, reason);
    }

    /** Compares the owner in the store with this entry's state and notifies the listener. */
    private void handleViewChange() {
        Optional<OwnerRecord> owner = mView.owner();
        if (mOwnTerm > 0 && mView.term() > mOwnTerm) {
            depose(mView.term());
        }
        boolean ownsKey = owner.isPresent() && isOwnRecord(owner.get());
        if (ownsKey && mOwnTerm == 0 && !mResigned && owner.get().term() == mView.term()) {
            becomeOwner(owner.get().term(), mView.termRevision());
        } else if (mOwnTerm > 0 && mView.term() == mOwnTerm) {
            mListener.termConfirmed(mOwnTerm);
        } else if (!ownsKey) {
            owner.ifPresent(found -> mListener.ownerFound(found.address(), found.term()));
        }
        scheduleClaim();
    }

    private boolean isOwnRecord(OwnerRecord owner) {
        return owner.entry().equals(mSettings.entry().value())
                && owner.processStartMillis() == mSettings.processStartMillis();
    }

    /**
     * Schedules a claim of the ownership if the owner's key is missing or malformed: after this
     * entry's rank delay, or at once if this entry is the owner and its key was removed.
     */
    private void scheduleClaim() {
        boolean ownerMissing = mViewLoaded && mView.owner().isEmpty();
        boolean viewOutdated = mOwnTerm > mView.term();
        if (!ownerMissing || viewOutdated || mClaimPending || mResigned || mLeaseId == 0) {
            return;
        }
        mClaimPending = true;
        int rank = OwnerRanking.rank(mView.entries(), StoreKeys.entry(mSettings.entry()));
        Duration delay = mOwnTerm > 0 ? Duration.ZERO : RANK_DELAY.multipliedBy(rank);
        mTimers.after(delay, this::claimIfOwnerMissing);
    }

    /**
     * Claims the ownership from an owner that is alive but can't write, provided that the store
     * answers this entry. The owner therefore does not change during an outage of the whole store.
     *
     * @param term term of the owner that requests the takeover
     */
    void takeOver(long term) {
        if (mOwnTerm > 0 || mClaimPending || mResigned || mLeaseId == 0 || mView.term() != term) {
            return;
        }
        mClaimPending = true;
        mLog.record("election.asked", term);
        mStore.renewLease(
                mLeaseId,
                outcome -> {
                    if (outcome instanceof LeaseOutcome.Held && mView.term() == term) {
                        claimOwnership();
                    } else {
                        mClaimPending = false;
                    }
                });
    }

    private void claimIfOwnerMissing() {
        if (mView.owner().isPresent()) {
            mClaimPending = false;
        } else {
            claimOwnership();
        }
    }

    /**
     * Writes this entry as the owner, on condition that the owner and term keys are unchanged. An
     * owner whose key was removed restores it within its term; any other claim starts a new term.
     */
    private void claimOwnership() {
        if (mResigned || mLeaseId == 0) {
            mClaimPending = false;
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
        mStore.write(change, outcome -> handleClaimOutcome(term, sameTerm, outcome));
    }

    private void handleClaimOutcome(long term, boolean sameTerm, WriteOutcome outcome) {
        mClaimPending = false;
        mLog.record("election.stood", term, "outcome", outcome.getClass().getSimpleName());
        switch (outcome) {
            case WriteOutcome.Written written -> {
                if (!sameTerm) {
                    becomeOwner(term, written.revision());
                }
            }
            case WriteOutcome.Conflict ignored -> {}
            case WriteOutcome.LeaseEnded ignored -> {
                mLeaseId = 0;
                openOrRenewLease();
            }
            case WriteOutcome.NotDone ignored -> mTimers.after(RETRY_DELAY, this::scheduleClaim);
            case WriteOutcome.Unknown ignored -> mTimers.after(RETRY_DELAY, this::scheduleClaim);
        }
    }

    private void becomeOwner(long term, long termRevision) {
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

    /** Gives up the ownership after a conditional write has shown that a later term has begun. */
    void deposeIfOwner() {
        if (mOwnTerm > 0) {
            depose(mView.term());
        }
    }

    /**
     * Gives up the ownership after another entry has reported a later term. The store may be
     * unreachable from here, so this entry may not have seen that term.
     *
     * @param term the later term
     */
    void deposeIfOutdated(long term) {
        if (mOwnTerm > 0 && term > mOwnTerm) {
            depose(term);
        }
    }

    /** Logs when the store becomes unavailable or available again. */
    private void logStoreState(boolean available, String cause) {
        if (available == mStoreUnavailable) {
            mStoreUnavailable = !available;
            mLog.record(available ? "store.regained" : "store.lost", "store", "cause", cause);
        }
    }
}
