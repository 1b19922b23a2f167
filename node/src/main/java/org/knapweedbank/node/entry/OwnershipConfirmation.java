package org.knapweedbank.node.entry;

import java.time.Duration;
import java.util.Set;
import java.util.function.Supplier;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.owner.JobOwner;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.node.link.NodeMessage;
import org.knapweedbank.time.Clock;
import org.knapweedbank.time.Timestamp;

/**
 * Keeps the ownership confirmed by the store or, while it does not answer, by the other entries.
 * Asks them to take over while the writes of this owner fail.
 */
final class OwnershipConfirmation {
    /**
     * Time without a successful write after which other entries are asked to take over. It is long
     * enough for a slow store to answer, and well below the lease time, at the end of which the
     * owner would change anyway.
     */
    private static final long TAKEOVER_REQUEST_MILLIS = 600;

    /**
     * Age of the confirmation from which on the other entries are asked. The store's answers are
     * younger while it works.
     */
    private static final Duration MIN_POLL_AGE = Duration.ofMillis(500);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    private final Clock mClock;
    private final DecisionLog mLog;
    private final long mTerm;
    private final JobOwner mOwner;
    private final RecordWriter mWriter;
    private final EntryLinks mEntryLinks;
    private final Supplier<Set<DaemonId>> mOtherEntries;
    private final TermPoll mPoll;
    private long mTakeoverRequestedAtMillis = Long.MIN_VALUE / 2;
    private long mPolledAtMillis = Long.MIN_VALUE / 2;

    /** Whether the ownership was confirmed in the last round; changes are logged. */
    private boolean mConfirmed = true;

    /**
     * Creates the confirmation of a term.
     *
     * @param otherEntries supplies the names of the other entries that the store has shown
     */
    OwnershipConfirmation(
            Clock clock,
            DecisionLog log,
            long term,
            JobOwner owner,
            RecordWriter writer,
            EntryLinks entryLinks,
            Supplier<Set<DaemonId>> otherEntries) {
        mClock = clock;
        mLog = log;
        mTerm = term;
        mOwner = owner;
        mWriter = writer;
        mEntryLinks = entryLinks;
        mOtherEntries = otherEntries;
        mPoll = new TermPoll(clock);
    }

    /** Handles that the store has shown this term to be the newest, and all registered entries. */
    void confirmByStore(Timestamp askedAt) {
        mEntryLinks.registeredEntriesRead();
        mOwner.confirmByStore(askedAt);
    }

    /** Handles the statement of an entry that it had begun no later term at a query. */
    void handleAnswer(long number, DaemonId entry) {
        mPoll.handleAnswer(number, entry).ifPresent(mOwner::confirmByEntries);
    }

    /** Sends the requests and queries that are due, and logs a change. */
    void update() {
        requestTakeover();
        pollEntries();
        logConfirmation();
    }

    /** Asks the other entries to take over while the writes of this owner fail. */
    private void requestTakeover() {
        long nowMillis = mClock.monotonicMillis();
        boolean due =
                mWriter.failingTime().toMillis() > TAKEOVER_REQUEST_MILLIS
                        && mWriter.lastWriteFailed();
        if (due && nowMillis - mTakeoverRequestedAtMillis > TAKEOVER_REQUEST_MILLIS) {
            mTakeoverRequestedAtMillis = nowMillis;
            mEntryLinks.send(new NodeMessage.TakeOver(mTerm));
        }
    }

    /**
     * Asks the other entries whether one of them has begun a later term, while the store does not
     * tell. As long as none has, this owner may go on, so that an outage of the store ends no
     * lease.
     */
    private void pollEntries() {
        long nowMillis = mClock.monotonicMillis();
        boolean due =
                mOwner.confirmationAge().compareTo(MIN_POLL_AGE) >= 0
                        && nowMillis - mPolledAtMillis >= POLL_INTERVAL.toMillis();
        if (!due) {
            return;
        }
        mPolledAtMillis = nowMillis;
        Set<DaemonId> successors = possibleSuccessors();
        if (successors.isEmpty()) {
            mOwner.confirmByEntries(Timestamp.now(mClock));
            return;
        }
        if (mEntryLinks.linked().containsAll(successors)) {
            long number = mPoll.open(successors);
            mEntryLinks.send(new NodeMessage.TermQuery(mTerm, number));
        }
    }

    private void logConfirmation() {
        boolean confirmed = mOwner.ownershipConfirmed();
        if (confirmed != mConfirmed) {
            mConfirmed = confirmed;
            mLog.record(
                    confirmed ? "owner.confirmed" : "owner.unconfirmed",
                    mTerm,
                    "age_ms",
                    mOwner.confirmationAge().toMillis(),
                    "other_entries",
                    possibleSuccessors().size(),
                    "linked",
                    mEntryLinks.count());
        }
    }

    private Set<DaemonId> possibleSuccessors() {
        return mEntryLinks.possibleSuccessors(mOtherEntries.get());
    }
}
