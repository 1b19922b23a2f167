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
    private static final Duration RENEWAL = Duration.ofMillis(450);
    private static final Duration WATCH_WAIT = Duration.ofMillis(1_000);
    private static final Duration RETRY = Duration.ofMillis(200);

    /** Head start of each stronger entry when the owner's key is missing. */
    private static final Duration RANK_DELAY = Duration.ofMillis(120);

    private final EntrySettings mSettings;
    private final CoordinationStore mStore;
    private final Timers mTimers;
    private final DecisionLog mLog;
    private final ElectionListener mListener;
    private MemberView mView = new MemberView(Map.of());
    private boolean mViewKnown;
    private long mLease;
    private boolean mLeaseCall;
    private boolean mCandidacy;
    private long mOwnTerm;
    private boolean mResigned;
    private boolean mLeft;
    private boolean mStoreAway;

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
        keepLease();
        mTimers.every(RENEWAL, this::keepLease);
        new PrefixWatch(mStore, mTimers, StoreKeys.MEMBERS, WATCH_WAIT, RETRY, this).start();
    }

    /** Gives the ownership up and does not run for it again. */
    void resign(Runnable done) {
        mResigned = true;
        if (mOwnTerm == 0 || mLease == 0) {
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
        if (mLease == 0) {
            done.run();
        } else {
            mStore.endLease(mLease, outcome -> done.run());
        }
    }

    /** Addresses of all entries, the owner's first. */
    List<String> addresses() {
        return EntryDirectory.addresses(mView);
    }

    private void keepLease() {
        if (mLeaseCall || mLeft) {
            return;
        }
        mLeaseCall = true;
        if (mLease == 0) {
            mStore.openLease(mSettings.leaseTtl(), this::leaseOpened);
        } else {
            mStore.renewLease(mLease, this::leaseRenewed);
        }
    }

    private void leaseOpened(LeaseOutcome outcome) {
        mLeaseCall = false;
        if (outcome instanceof LeaseOutcome.Held held) {
            mLease = held.lease();
            storeState(true, "");
            announce();
            consider();
        } else {
            storeState(false, outcome.toString());
            mTimers.after(RETRY, this::keepLease);
        }
    }

    private void leaseRenewed(LeaseOutcome outcome) {
        mLeaseCall = false;
        switch (outcome) {
            case LeaseOutcome.Held ignored -> storeState(true, "");
            case LeaseOutcome.Ended ignored -> {
                mLog.record("election.lease_ended", mLease);
                mLease = 0;
                keepLease();
            }
            case LeaseOutcome.Unavailable away -> {
                storeState(false, away.reason());
                mTimers.after(RETRY, this::keepLease);
            }
        }
    }

    private void announce() {
        StoreChange change = new StoreChange();
        String value = mSettings.address() + "\n" + mSettings.strength();
        change.put(
                StoreKeys.entry(mSettings.node()), value.getBytes(StandardCharsets.UTF_8), mLease);
        long lease = mLease;
        mStore.write(
                change,
                outcome -> {
                    if (lease == mLease && !(outcome instanceof WriteOutcome.Written)) {
                        mTimers.after(RETRY, this::announceAgain);
                    }
                });
    }

    private void announceAgain() {
        if (mLease != 0) {
            announce();
        }
    }

    @Override
    public void current(Map<String, StoreItem> items) {
        storeState(true, "");
        mView = new MemberView(items);
        mViewKnown = true;
        viewChanged();
    }

    @Override
    public void unavailable(String reason) {
        storeState(false, reason);
    }

    private void viewChanged() {
        Optional<OwnerRecord> owner = mView.owner();
        if (mOwnTerm > 0 && mView.term() > mOwnTerm) {
            depose(mView.term());
        }
        boolean own = owner.isPresent() && owns(owner.get());
        if (own && mOwnTerm == 0 && !mResigned && owner.get().term() == mView.term()) {
            elected(owner.get().term(), mView.termRevision());
        } else if (mOwnTerm > 0 && mView.term() == mOwnTerm) {
            mListener.confirmed(mOwnTerm);
        } else if (!own) {
            owner.ifPresent(o -> mListener.ownerAt(o.address(), o.term()));
        }
        consider();
    }

    private boolean owns(OwnerRecord owner) {
        return owner.node().equals(mSettings.node().value())
                && owner.process() == mSettings.process();
    }

    /** Stands for election if the owner's key is missing, after the head start of the others. */
    private void consider() {
        boolean missing = mViewKnown && mView.ownerRevision() == 0;
        boolean viewLags = mOwnTerm > mView.term();
        if (!missing || viewLags || mCandidacy || mResigned || mLease == 0) {
            return;
        }
        mCandidacy = true;
        Duration delay = mOwnTerm > 0 ? Duration.ZERO : RANK_DELAY.multipliedBy(rank());
        mTimers.after(delay, this::stand);
    }

    private int rank() {
        Comparator<Map.Entry<String, String>> strongest =
                Comparator.comparingDouble((Map.Entry<String, String> e) -> -strength(e.getValue()))
                        .thenComparing(Map.Entry::getKey);
        List<String> order =
                mView.entries().entrySet().stream()
                        .sorted(strongest)
                        .map(Map.Entry::getKey)
                        .toList();
        return Math.max(0, order.indexOf(StoreKeys.entry(mSettings.node())));
    }

    private static double strength(String entry) {
        String[] fields = entry.split("\n", -1);
        return fields.length < 2 ? 0 : Double.parseDouble(fields[1]);
    }

    /**
     * Stands against an owner that lives but can't write, if the store answers here. An outage of
     * the whole store changes nothing that way.
     *
     * @param term term of the owner that asks for it
     */
    void takeOver(long term) {
        if (mOwnTerm > 0 || mCandidacy || mResigned || mLease == 0 || mView.term() != term) {
            return;
        }
        mCandidacy = true;
        mLog.record("election.asked", term);
        mStore.renewLease(
                mLease,
                outcome -> {
                    if (outcome instanceof LeaseOutcome.Held && mView.term() == term) {
                        run();
                    } else {
                        mCandidacy = false;
                    }
                });
    }

    private void stand() {
        if (mView.ownerRevision() != 0) {
            mCandidacy = false;
        } else {
            run();
        }
    }

    /** Writes the owner's key in place of the one that is known, if any. */
    private void run() {
        if (mResigned || mLease == 0) {
            mCandidacy = false;
            return;
        }
        boolean again = mOwnTerm > 0 && mView.term() == mOwnTerm;
        long term = again ? mOwnTerm : mView.term() + 1;
        OwnerRecord record =
                new OwnerRecord(
                        mSettings.node().value(), mSettings.process(), mSettings.address(), term);
        StoreChange change =
                new StoreChange()
                        .expect(StoreKeys.OWNER, mView.ownerRevision())
                        .expect(StoreKeys.TERM, mView.termRevision())
                        .put(StoreKeys.OWNER, record.encode(), mLease);
        if (!again) {
            byte[] value = Long.toString(term).getBytes(StandardCharsets.UTF_8);
            change.put(StoreKeys.TERM, value, 0);
        }
        mStore.write(change, outcome -> stood(term, again, outcome));
    }

    private void stood(long term, boolean again, WriteOutcome outcome) {
        mCandidacy = false;
        mLog.record("election.stood", term, "outcome", outcome.getClass().getSimpleName());
        switch (outcome) {
            case WriteOutcome.Written written -> {
                if (!again) {
                    elected(term, written.revision());
                }
            }
            case WriteOutcome.Conflict ignored -> {}
            case WriteOutcome.LeaseEnded ignored -> {
                mLease = 0;
                keepLease();
            }
            case WriteOutcome.NotDone ignored -> mTimers.after(RETRY, this::consider);
            case WriteOutcome.Unknown ignored -> mTimers.after(RETRY, this::consider);
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

    private void depose(long newest) {
        mLog.record("election.deposed", mOwnTerm, "newest", newest);
        mOwnTerm = 0;
        mListener.deposed(newest);
    }

    /** Takes word from a guarded write that a later term has begun. */
    void outdated() {
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

    private void storeState(boolean reached, String cause) {
        if (reached == mStoreAway) {
            mStoreAway = !reached;
            mLog.record(reached ? "store.regained" : "store.lost", "store", "cause", cause);
        }
    }
}
