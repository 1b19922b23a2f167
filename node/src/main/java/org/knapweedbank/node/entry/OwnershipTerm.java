package org.knapweedbank.node.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.owner.JobOwner;
import org.knapweedbank.jobs.owner.Takeover;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.node.CallAnswer;
import org.knapweedbank.node.CallRequest;
import org.knapweedbank.node.Timers;
import org.knapweedbank.node.link.Link;
import org.knapweedbank.node.link.LinkListener;
import org.knapweedbank.node.link.NodeMessage;
import org.knapweedbank.node.store.CoordinationStore;
import org.knapweedbank.time.Clock;
import org.knapweedbank.time.Timestamp;

/**
 * Term in which this entry is the owner. Loads the records from the store, serves agents and calls,
 * and writes changed records.
 */
final class OwnershipTerm implements RecordWriter.Listener {
    private static final Duration SCHEDULE_INTERVAL = Duration.ofMillis(100);

    /** Interval of the check whether all records are written. */
    private static final Duration DRAIN_CHECK_INTERVAL = Duration.ofMillis(100);

    private final Duration mRenewalAuthority;
    private final Clock mClock;
    private final Timers mTimers;
    private final CoordinationStore mStore;
    private final DecisionLog mLog;
    private final Takeover mTakeover;
    private final long mTermRevision;
    private final Supplier<Set<DaemonId>> mOtherEntries;
    private final Runnable mOnDeposed;
    private final AgentLinks mAgentLinks;
    private final EntryLinks mEntryLinks = new EntryLinks();
    private final StatedRegistrations mRegistrations;
    private final RecordLoader mLoader;
    private final RoundPacer mPacer = new RoundPacer();

    /** Owner of the jobs; null, like the other parts that need it, until they are loaded. */
    private JobOwner mOwner;

    private RecordWriter mWriter;
    private CallHandler mCalls;

    /** What the owner has to be told once it is loaded. */
    private final List<Consumer<JobOwner>> mOnLoaded = new ArrayList<>();

    private OwnershipConfirmation mConfirmation;
    private Runnable mCancelSchedule = () -> {};
    private boolean mSchedulePending;
    private boolean mStopped;

    /**
     * Creates the term.
     *
     * @param otherEntries supplies the names of the other entries that the store has shown
     * @param onDeposed runs when a write shows that a later term has begun
     */
    OwnershipTerm(
            EntrySettings settings,
            Clock clock,
            Timers timers,
            CoordinationStore store,
            DecisionLog log,
            Takeover takeover,
            long termRevision,
            Supplier<Set<DaemonId>> otherEntries,
            Runnable onDeposed) {
        mRenewalAuthority = settings.owner().renewalAuthority();
        mRegistrations = new StatedRegistrations(settings.owner().maxStoreSilence());
        mClock = clock;
        mTimers = timers;
        mStore = store;
        mLog = log;
        mTakeover = takeover;
        mTermRevision = termRevision;
        mOtherEntries = otherEntries;
        mOnDeposed = onDeposed;
        mAgentLinks = new AgentLinks(clock, log, this::scheduleSoon);
        mLoader =
                new RecordLoader(
                        timers,
                        store,
                        log,
                        takeover,
                        vms ->
                                new JobOwner(
                                        settings.owner(), clock, mAgentLinks, log, takeover, vms));
    }

    long term() {
        return mTakeover.term();
    }

    /** Returns whether the records are loaded and the ownership has not ended. */
    boolean isReady() {
        return mOwner != null && !mStopped;
    }

    /** Loads the records of earlier owners, with retries; the owner serves once they are loaded. */
    void load(Consumer<JobOwner> onLoaded) {
        mLoader.load(
                owner -> {
                    serve(owner);
                    onLoaded.accept(owner);
                });
    }

    private void serve(JobOwner owner) {
        mOwner = owner;
        mOnLoaded.forEach(action -> action.accept(owner));
        mAgentLinks.setOwner(owner);
        mWriter = new RecordWriter(owner, mStore, mTimers, mClock, mLog, mTermRevision, this);
        mCalls =
                new CallHandler(
                        mClock,
                        owner,
                        mWriter,
                        new TermCheck(mStore, mTermRevision),
                        mLoader::isUnreadable);
        mConfirmation =
                new OwnershipConfirmation(
                        mClock, mLog, term(), owner, mWriter, mEntryLinks, mOtherEntries);
        mCancelSchedule = mTimers.every(SCHEDULE_INTERVAL, this::schedule);
    }

    void stop() {
        mStopped = true;
        mCancelSchedule.run();
        mLoader.stop();
        if (mWriter != null) {
            mWriter.stop();
        }
        mAgentLinks.stop("the ownership has ended");
        mEntryLinks.closeAll("the ownership has ended");
        if (mCalls != null) {
            mCalls.stop();
        }
    }

    /** Runs an action when all records are written or the timeout has passed. */
    void drain(Duration timeout, Runnable done) {
        if (!isReady() || mWriter.isIdle() || timeout.isNegative()) {
            done.run();
        } else {
            mTimers.after(
                    DRAIN_CHECK_INTERVAL, () -> drain(timeout.minus(DRAIN_CHECK_INTERVAL), done));
        }
    }

    /**
     * Handles a call. The answer is null if the ownership ended before the outcome was known; the
     * call may then be repeated at the next owner.
     */
    void call(CallRequest request, Consumer<CallAnswer> done) {
        mCalls.call(request, done);
    }

    /** Accepts the link of an agent, which gets start orders once it has reported its state. */
    LinkListener acceptAgent(Link link, NodeMessage.AgentHello hello) {
        AgentLink agent = mAgentLinks.add(link, hello);
        link.send(new NodeMessage.Welcome(term(), true));
        return agent;
    }

    /** Accepts the link of an entry, which forwards calls. */
    LinkListener acceptEntry(Link link, NodeMessage.EntryHello hello) {
        EntryLink entry = new EntryLink(this, link, hello.entry());
        mEntryLinks.add(entry);
        link.send(new NodeMessage.Welcome(term(), true));
        return entry;
    }

    void removeEntry(EntryLink entry) {
        mEntryLinks.remove(entry);
    }

    /**
     * Handles that the store has shown this term to be the newest, and all registered entries.
     *
     * @param entryRevisions returns the revision of an entry's key, 0 if there is none
     */
    void confirmByStore(Timestamp askedAt, ToLongFunction<DaemonId> entryRevisions) {
        mConfirmation.confirmByStore(askedAt);
        mAgentLinks.answerLatestPings();
        limitByRegistrations(entryRevisions);
    }

    /**
     * Handles the statement of an entry that it answers no query of an earlier owner any more. Such
     * an owner needs these answers to go on without the store, unless the store has not shown it
     * the entry.
     */
    void handleRegistration(DaemonId entry, NodeMessage.Registration registration) {
        mRegistrations.add(entry, registration, mClock.monotonicMillis());
    }

    private void limitByRegistrations(ToLongFunction<DaemonId> entryRevisions) {
        long renewalAuthorityMillis = mRenewalAuthority.toMillis();
        mRegistrations
                .confirmableUntil(entryRevisions)
                .ifPresent(
                        untilMillis ->
                                limitEarlierOwners(
                                        untilMillis + renewalAuthorityMillis,
                                        "statement of a registered entry"));
    }

    /**
     * Handles that no owner of an earlier term answers an agent after a monotonic time in
     * milliseconds.
     *
     * @param evidence what shows it, for the log
     */
    void limitEarlierOwners(long untilMillis, String evidence) {
        if (isReady()) {
            mOwner.limitEarlierOwners(untilMillis, evidence);
        } else {
            mOnLoaded.add(owner -> owner.limitEarlierOwners(untilMillis, evidence));
        }
    }

    /** Handles the statement of an entry that it is stopping and will begin no term any more. */
    void handleWithdrawal(DaemonId entry) {
        mLog.record("entry.withdrawn", entry.value(), "term", term());
        mEntryLinks.withdraw(entry);
    }

    /** Handles the statement of an entry that it had begun no later term at a query. */
    void handleTermAnswer(long number, DaemonId entry) {
        if (isReady()) {
            mConfirmation.handleAnswer(number, entry);
            mAgentLinks.answerLatestPings();
        }
    }

    @Override
    public void recordsWritten() {
        mOwner.acknowledge();
        mAgentLinks.answerLatestPings();
        mCalls.acceptStored();
        scheduleSoon();
    }

    @Override
    public void writeFailed() {
        mCalls.refuseOverdue();
    }

    @Override
    public void deposed() {
        mOnDeposed.run();
    }

    private void scheduleSoon() {
        if (!mSchedulePending) {
            mSchedulePending = true;
            mTimers.after(mPacer.delay(), this::schedule);
        }
    }

    /** Refuses calls that have waited too long and runs one round of scheduling. */
    private void schedule() {
        mSchedulePending = false;
        if (isReady()) {
            mCalls.refuseOverdue();
            mConfirmation.update();
            long startedAtNanos = mClock.monotonicNanos();
            mOwner.schedule();
            mPacer.roundTook(Duration.ofNanos(mClock.monotonicNanos() - startedAtNanos));
            mWriter.writeChanges();
        }
    }
}
