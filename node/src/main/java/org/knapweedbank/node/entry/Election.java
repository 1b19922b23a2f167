package org.knapweedbank.node.entry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.owner.Takeover;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.node.Timers;
import org.knapweedbank.node.link.NodeMessage;
import org.knapweedbank.node.store.CoordinationStore;
import org.knapweedbank.node.store.LeaseOutcome;
import org.knapweedbank.node.store.PrefixWatch;
import org.knapweedbank.node.store.StoreChange;
import org.knapweedbank.node.store.StoreItem;
import org.knapweedbank.node.store.WriteOutcome;
import org.knapweedbank.time.Clock;
import org.knapweedbank.time.Timestamp;

/**
 * Registers this entry in the store and elects the owner. The owner's key is attached to the lease
 * of its entry and only shows that the owner is alive. Ownership itself is defined by the term:
 * each takeover increments it, and every write of an owner is conditional on the revision of the
 * term key.
 */
final class Election implements PrefixWatch.Listener {
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(450);
    private static final Duration MAX_WATCH_WAIT = Duration.ofMillis(1_000);

    /**
     * Maximum wait of the owner's watch calls. Each answer confirms the term as of its call, so
     * this bounds the age of the owner's confirmation while the store answers.
     */
    private static final Duration MAX_OWNER_WATCH_WAIT = Duration.ofMillis(400);

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    /**
     * Delay per rank before an entry claims a missing owner key, so that the best candidate claims
     * it first.
     */
    private static final Duration RANK_DELAY = Duration.ofMillis(120);

    /**
     * Time without data after which a link is closed at the latest. A link that is open was open at
     * both ends this time ago.
     */
    private static final long MAX_LINK_SILENCE_MILLIS = 2_500;

    private final EntrySettings mSettings;
    private final Clock mClock;
    private final CoordinationStore mStore;
    private final Timers mTimers;
    private final DecisionLog mLog;
    private final OwnerContact mOwnerContact;
    private final ElectionListener mListener;
    private MembershipView mView = new MembershipView(Map.of());
    private boolean mViewLoaded;

    /** Lease of this entry's keys, 0 if there is none. */
    private long mLeaseId;

    private boolean mLeaseCallPending;

    /** Registration of this entry; empty while its key may be missing. */
    private Optional<OwnRegistration> mRegistration = Optional.empty();

    /** True while a claim is scheduled or being written. */
    private boolean mClaimPending;

    /**
     * Claim that has been sent and may be carried out as long as the term key is unchanged, with or
     * without an answer; null if there is none.
     */
    private Claim mOpenClaim;

    /** Term of which this entry is the owner, 0 if it is not the owner. */
    private long mOwnTerm;

    /** Monotonic time in milliseconds at which this entry first saw the newest term. */
    private long mTermSeenAtMillis;

    /** Owner of the term before the own one, until it is known to have ended. */
    private Optional<FormerOwner> mFormerOwner = Optional.empty();

    /** Monotonic time in milliseconds at which its process was first known to have ended. */
    private OptionalLong mFormerOwnerEndedAtMillis = OptionalLong.empty();

    /** Monotonic time in milliseconds at which this process began to take part. */
    private final long mStartedAtMillis;

    private boolean mResigned;
    private boolean mDeregistered;
    private boolean mStoreUnavailable;

    /**
     * Claim of the ownership.
     *
     * @param takeover the takeover if it succeeds
     * @param termRevision revision of the term key on which it is conditional
     * @param sameTerm true if it restores the key of an owner within its term
     * @param formerOwner owner of the term before, if it is known
     */
    private record Claim(
            Takeover takeover,
            long termRevision,
            boolean sameTerm,
            Optional<FormerOwner> formerOwner) {}

    Election(
            EntrySettings settings,
            Clock clock,
            CoordinationStore store,
            Timers timers,
            DecisionLog log,
            OwnerContact ownerContact,
            ElectionListener listener) {
        mSettings = settings;
        mClock = clock;
        mStore = store;
        mTimers = timers;
        mLog = log;
        mOwnerContact = ownerContact;
        mListener = listener;
        mStartedAtMillis = clock.monotonicMillis();
    }

    void start() {
        openOrRenewLease();
        mTimers.every(RENEWAL_INTERVAL, this::openOrRenewLease);
        new PrefixWatch(
                        mStore,
                        mClock,
                        mTimers,
                        mLog,
                        StoreKeys.MEMBERSHIP_PREFIX,
                        () -> mOwnTerm > 0 ? MAX_OWNER_WATCH_WAIT : MAX_WATCH_WAIT,
                        RETRY_DELAY,
                        this)
                .start();
    }

    /**
     * Takes no further part in elections.
     *
     * @return false if a claim that was sent before may still begin a term
     */
    boolean withdraw() {
        mResigned = true;
        return mOpenClaim == null;
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

    /** Returns the names of the other entries that the store has shown. */
    Set<DaemonId> otherEntries() {
        return mView.entryNames().stream()
                .filter(name -> !name.equals(mSettings.entry()))
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns whether this entry has begun no term later than the given one. It may begin one right
     * after, but has not sent a claim that may be carried out unseen.
     */
    boolean hasBegunNoTermAfter(long term) {
        return mOwnTerm == 0 && mOpenClaim == null && mView.term() <= term;
    }

    /** Forgets the lease, with which the keys of this entry have ended. */
    private void dropLease() {
        mLeaseId = 0;
        mRegistration = Optional.empty();
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
                dropLease();
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
                    if (leaseId != mLeaseId) {
                        return;
                    }
                    if (outcome instanceof WriteOutcome.Written written) {
                        mRegistration =
                                Optional.of(
                                        new OwnRegistration(
                                                written.revision(), mClock.monotonicMillis()));
                    } else {
                        mTimers.after(RETRY_DELAY, this::retryRegistration);
                    }
                });
    }

    /** Registers again if the store has lost this entry's key although its lease goes on. */
    private void restoreRegistration(Timestamp viewRequestedAt) {
        boolean missing = !mView.entryNames().contains(mSettings.entry());
        boolean expected =
                mRegistration
                        .filter(own -> viewRequestedAt.monotonicMillis() > own.atMillis())
                        .isPresent();
        if (missing && expected && !mDeregistered) {
            mLog.record("election.key_lost", mLeaseId);
            mRegistration = Optional.empty();
            retryRegistration();
        }
    }

    /**
     * Takes the revision of this entry's key from the view if an earlier write was applied late.
     */
    private void updateRegistration() {
        long revision = entryRevision(mSettings.entry());
        mRegistration =
                mRegistration.map(
                        own ->
                                revision > own.revision()
                                        ? new OwnRegistration(revision, mClock.monotonicMillis())
                                        : own);
    }

    private void retryRegistration() {
        if (mLeaseId != 0) {
            register();
        }
    }

    @Override
    public void itemsRefreshed(Map<String, StoreItem> items, Timestamp requestedAt) {
        logStoreState(true, "");
        MembershipView view = new MembershipView(items);
        if (view.termRevision() != mView.termRevision()) {
            mTermSeenAtMillis = mClock.monotonicMillis();
        }
        mView = view;
        mViewLoaded = true;
        restoreRegistration(requestedAt);
        updateRegistration();
        handleViewChange(requestedAt);
    }

    @Override
    public void storeUnavailable(String reason) {
        logStoreState(false, reason);
    }

    /** Compares the owner in the store with this entry's state and notifies the listener. */
    private void handleViewChange(Timestamp requestedAt) {
        Optional<OwnerRecord> owner = mView.owner();
        if (mOwnTerm > 0 && mView.term() > mOwnTerm) {
            depose(mView.term());
        }
        boolean ownsKey = owner.isPresent() && isOwnRecord(owner.get());
        if (ownsKey && mOwnTerm == 0 && !mResigned && owner.get().term() == mView.term()) {
            Optional<Claim> claim = Optional.ofNullable(mOpenClaim);
            Duration confirmable =
                    claim.map(open -> open.takeover().formerOwnerConfirmable())
                            .orElseGet(this::formerOwnerConfirmable);
            becomeOwner(
                    new Takeover(owner.get().term(), requestedAt, confirmable),
                    mView.termRevision(),
                    claim.flatMap(Claim::formerOwner));
        } else if (mOwnTerm > 0 && mView.term() == mOwnTerm) {
            mListener.termConfirmed(mOwnTerm, requestedAt);
        } else if (!ownsKey) {
            owner.ifPresent(found -> mListener.ownerFound(found.address(), found.term()));
        }
        if (mOpenClaim != null && mOpenClaim.termRevision() != mView.termRevision()) {
            mOpenClaim = null;
        }
        noteEndOfFormerOwner();
        limitEarlierOwners();
        scheduleClaim();
    }

    /** Notifies the listener once the process of the former owner is known to have ended. */
    private void limitEarlierOwners() {
        if (mOwnTerm > 0 && mFormerOwner.isPresent() && mFormerOwnerEndedAtMillis.isPresent()) {
            long until =
                    mFormerOwner
                            .get()
                            .answersUntil(
                                    mFormerOwnerEndedAtMillis.getAsLong(),
                                    mSettings.owner().renewalAuthority());
            mFormerOwner = Optional.empty();
            mListener.earlierOwnersLimited(mOwnTerm, until);
        }
    }

    /** Notes when the process of the owner that this entry replaces, or has replaced, has ended. */
    private void noteEndOfFormerOwner() {
        Optional<FormerOwner> former = mOwnTerm > 0 ? mFormerOwner : formerOwner();
        if (former.filter(owner -> owner.hasEnded(mView)).isEmpty()) {
            mFormerOwnerEndedAtMillis = OptionalLong.empty();
        } else if (mFormerOwnerEndedAtMillis.isEmpty()) {
            boolean ownProcess =
                    former.get().lastOwner().owner().entry().equals(mSettings.entry().value());
            mFormerOwnerEndedAtMillis =
                    OptionalLong.of(ownProcess ? mStartedAtMillis : mClock.monotonicMillis());
        }
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
        OwnerRecord record = ownRecord(term);
        StoreChange change =
                new StoreChange()
                        .expect(StoreKeys.OWNER, mView.ownerRevision())
                        .expect(StoreKeys.TERM, mView.termRevision())
                        .put(StoreKeys.OWNER, record.encode(), mLeaseId);
        // An owner that has seen the loss of this entry's key does not need its statements.
        mRegistration.ifPresent(
                own -> change.expect(StoreKeys.entry(mSettings.entry()), own.revision()));
        if (!sameTerm) {
            byte[] value = Long.toString(term).getBytes(StandardCharsets.UTF_8);
            change.put(StoreKeys.TERM, value, 0);
        }
        Takeover takeover = new Takeover(term, Timestamp.now(mClock), formerOwnerConfirmable());
        if (!sameTerm) {
            LastOwnerRecord owner = new LastOwnerRecord(record, takeover.formerOwnerConfirmable());
            change.put(StoreKeys.LAST_OWNER, owner.encode(), 0);
        }
        Claim claim = new Claim(takeover, mView.termRevision(), sameTerm, formerOwner());
        boolean first = mOpenClaim == null;
        mOpenClaim = claim;
        mStore.write(change, outcome -> handleClaimOutcome(claim, first, outcome));
    }

    private OwnerRecord ownRecord(long term) {
        return new OwnerRecord(
                mSettings.entry().value(),
                mSettings.processStartMillis(),
                mSettings.address(),
                term);
    }

    /** Returns the owner of the newest term that this entry has seen. */
    private Optional<FormerOwner> formerOwner() {
        return mView.lastOwner()
                .map(owner -> new FormerOwner(owner, mView.termRevision(), mTermSeenAtMillis));
    }

    /**
     * Returns how long earlier owners may go on without the store, needing no statement of this
     * entry. They may not have seen its key if they have not heard of the store since it was
     * written. The present owner also needs its statements if it has seen a link of it; those
     * before may go on as long as the present one has recorded.
     */
    private Duration formerOwnerConfirmable() {
        if (mView.termRevision() == 0) {
            return Duration.ZERO;
        }
        Duration silence = mSettings.owner().maxStoreSilence();
        Duration registeredFor = mRegistration.map(this::age).orElse(Duration.ZERO);
        Duration left = notNegative(silence.minus(registeredFor));
        Optional<Duration> leftIfLinked =
                mRegistration
                        .filter(this::hasBeenLinkedSince)
                        .flatMap(own -> formerOwner())
                        .map(
                                former ->
                                        notNegative(
                                                Duration.ofMillis(
                                                        former.predecessorsConfirmableUntil()
                                                                - mClock.monotonicMillis())));
        return leftIfLinked.filter(linked -> linked.compareTo(left) < 0).orElse(left);
    }

    private static Duration notNegative(Duration duration) {
        return duration.isNegative() ? Duration.ZERO : duration;
    }

    private Duration age(OwnRegistration registration) {
        return Duration.ofMillis(mClock.monotonicMillis() - registration.atMillis());
    }

    /**
     * Returns the statement of this entry for a new owner; empty if it is not registered or takes
     * no part in elections. An owner that does not know this entry has not heard of the store since
     * the registration.
     */
    Optional<NodeMessage.Registration> registrationStatement() {
        return mRegistration
                .filter(own -> !mResigned)
                .map(own -> new NodeMessage.Registration(own.revision(), age(own).toMillis()));
    }

    /** Returns the revision of an entry's key in the newest view, 0 if there is none. */
    long entryRevision(DaemonId entry) {
        return mView.entryRevision(entry.value());
    }

    /**
     * Returns whether this entry was linked to the owner after its registration. The owner then has
     * seen the link if it has not seen the key.
     */
    private boolean hasBeenLinkedSince(OwnRegistration registration) {
        long lastLinkedMillis = mOwnerContact.lastLinkedMillis(mView.term());
        return lastLinkedMillis > registration.atMillis() + MAX_LINK_SILENCE_MILLIS;
    }

    /**
     * Handles the outcome of a claim.
     *
     * @param first false if an earlier claim was open, which this outcome does not settle
     */
    private void handleClaimOutcome(Claim claim, boolean first, WriteOutcome outcome) {
        mClaimPending = false;
        if (first && !(outcome instanceof WriteOutcome.Unknown)) {
            mOpenClaim = null;
        }
        mLog.record(
                "election.stood",
                claim.takeover().term(),
                "outcome",
                outcome.getClass().getSimpleName(),
                "former_confirmable_ms",
                claim.takeover().formerOwnerConfirmable().toMillis());
        switch (outcome) {
            case WriteOutcome.Written written -> {
                if (!claim.sameTerm()) {
                    becomeOwner(claim.takeover(), written.revision(), claim.formerOwner());
                }
            }
            case WriteOutcome.Conflict ignored -> {}
            case WriteOutcome.LeaseEnded ignored -> {
                dropLease();
                openOrRenewLease();
            }
            case WriteOutcome.NotDone ignored -> mTimers.after(RETRY_DELAY, this::scheduleClaim);
            case WriteOutcome.Unknown ignored -> mTimers.after(RETRY_DELAY, this::scheduleClaim);
        }
    }

    private void becomeOwner(
            Takeover takeover, long termRevision, Optional<FormerOwner> formerOwner) {
        if (takeover.term() <= mOwnTerm || mResigned) {
            return;
        }
        if (mOwnTerm > 0) {
            depose(takeover.term());
        }
        mOwnTerm = takeover.term();
        mLog.record("election.won", takeover.term());
        mListener.elected(takeover, termRevision);
        mFormerOwner = formerOwner;
        limitEarlierOwners();
        if (!takeover.formerOwnerConfirmable().isZero()) {
            mTimers.after(
                    takeover.formerOwnerConfirmable().plus(mSettings.owner().renewalAuthority()),
                    () -> writeEndOfEarlierOwners(takeover.term(), termRevision));
        }
    }

    /** Tells the next owner that no owner before this one answers an agent any more. */
    private void writeEndOfEarlierOwners(long term, long termRevision) {
        if (mOwnTerm != term) {
            return;
        }
        byte[] record = new LastOwnerRecord(ownRecord(term), Duration.ZERO).encode();
        StoreChange change =
                new StoreChange()
                        .expect(StoreKeys.TERM, termRevision)
                        .put(StoreKeys.LAST_OWNER, record, 0);
        mStore.write(
                change,
                outcome -> {
                    if (outcome instanceof WriteOutcome.NotDone
                            || outcome instanceof WriteOutcome.Unknown) {
                        mTimers.after(
                                RETRY_DELAY, () -> writeEndOfEarlierOwners(term, termRevision));
                    }
                });
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
