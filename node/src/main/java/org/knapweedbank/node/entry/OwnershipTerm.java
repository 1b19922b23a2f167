package org.knapweedbank.node.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.OrderCoverage;
import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.jobs.WorkerInfo;
import org.knapweedbank.jobs.owner.Job;
import org.knapweedbank.jobs.owner.JobOwner;
import org.knapweedbank.jobs.owner.OwnerOutput;
import org.knapweedbank.jobs.owner.SubmitResult;
import org.knapweedbank.jobs.owner.Takeover;
import org.knapweedbank.jobs.owner.VmList;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.node.CallAnswer;
import org.knapweedbank.node.CallRequest;
import org.knapweedbank.node.Timers;
import org.knapweedbank.node.link.Link;
import org.knapweedbank.node.link.LinkListener;
import org.knapweedbank.node.link.NodeMessage;
import org.knapweedbank.node.store.CoordinationStore;
import org.knapweedbank.node.store.ReadOutcome;
import org.knapweedbank.node.store.StoreItem;
import org.knapweedbank.time.Clock;
import org.knapweedbank.time.Timestamp;

/**
 * Term in which this entry is the owner. Loads the records from the store, serves agents and calls,
 * and writes changed records.
 */
final class OwnershipTerm implements OwnerOutput, RecordWriter.Listener {
    private static final Duration LOAD_RETRY_DELAY = Duration.ofMillis(100);
    private static final Duration SCHEDULE_INTERVAL = Duration.ofMillis(100);

    /**
     * Time that a new job waits for a store that accepts no writes before it is refused. A slow but
     * working store answers within this time.
     */
    private static final long MAX_STORE_WAIT_MILLIS = 700;

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

    private static final String UNCONFIRMED = "the ownership is not confirmed";

    /** Delay that a caller is told to wait while the ownership is not confirmed. */
    private static final Duration OWNER_RETRY_AFTER = Duration.ofSeconds(1);

    /**
     * Answer to calls for a job whose record can't be read. The record is kept, so the job may have
     * run and is neither refused nor unknown.
     */
    private static final CallAnswer UNREADABLE_JOB =
            new CallAnswer.OutcomeUnknown("the record of the job can't be read");

    /** Delay that a caller is told to wait when the store is unavailable. */
    private static final Duration STORE_RETRY_AFTER = Duration.ofSeconds(1);

    private final EntrySettings mSettings;
    private final Clock mClock;
    private final Timers mTimers;
    private final CoordinationStore mStore;
    private final DecisionLog mLog;
    private final Takeover mTakeover;
    private final long mTermRevision;
    private final Supplier<Set<DaemonId>> mOtherEntries;
    private final Runnable mOnDeposed;
    private final Map<DaemonId, AgentLink> mAgentLinks = new HashMap<>();

    /** Start time of each agent's process, by which a restart of the agent is detected. */
    private final Map<DaemonId, Long> mAgentProcessStarts = new HashMap<>();

    private final EntryLinks mEntryLinks = new EntryLinks();
    private final TermPoll mPoll;
    private final TermCheck mTermCheck;

    /** Keys of job records that could not be read; the records are kept as they are. */
    private final Set<String> mUnreadableKeys = new HashSet<>();

    private final List<WaitingCall> mWaitingCalls = new ArrayList<>();
    private final RoundPacer mPacer = new RoundPacer();
    private JobOwner mOwner;
    private RecordWriter mWriter;
    private Runnable mCancelSchedule = () -> {};
    private long mTakeoverRequestedAtMillis = Long.MIN_VALUE / 2;
    private long mPolledAtMillis = Long.MIN_VALUE / 2;

    /** Whether the ownership was confirmed in the last round; changes are logged. */
    private boolean mConfirmed = true;

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
        mSettings = settings;
        mClock = clock;
        mTimers = timers;
        mStore = store;
        mLog = log;
        mTakeover = takeover;
        mTermRevision = termRevision;
        mOtherEntries = otherEntries;
        mOnDeposed = onDeposed;
        mPoll = new TermPoll(clock);
        mTermCheck = new TermCheck(store, termRevision);
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
        mStore.read(
                StoreKeys.VMS,
                false,
                outcome -> {
                    if (outcome instanceof ReadOutcome.Items items) {
                        loadJobs(items.items(), onLoaded);
                    } else {
                        mTimers.after(LOAD_RETRY_DELAY, () -> retryLoad(onLoaded));
                    }
                });
    }

    void stop() {
        mStopped = true;
        mCancelSchedule.run();
        if (mWriter != null) {
            mWriter.stop();
        }
        List.copyOf(mAgentLinks.values())
                .forEach(agent -> agent.mLink.close("the ownership has ended"));
        mEntryLinks.closeAll("the ownership has ended");
        List.copyOf(mWaitingCalls).forEach(call -> call.complete(null));
        mWaitingCalls.clear();
    }

    /** Runs an action when all records are written or the timeout has passed. */
    void drain(Duration timeout, Runnable done) {
        if (!isReady() || mWriter.isIdle() || timeout.isNegative()) {
            done.run();
        } else {
            mTimers.after(LOAD_RETRY_DELAY, () -> drain(timeout.minus(LOAD_RETRY_DELAY), done));
        }
    }

    /**
     * Handles a call. The answer is null if the ownership ended before the outcome was known; the
     * call may then be repeated at the next owner.
     */
    void call(CallRequest request, Consumer<CallAnswer> done) {
        switch (request) {
            case CallRequest.Submit submit when isUnreadable(submit.submission().id()) ->
                    done.accept(UNREADABLE_JOB);
            case CallRequest.Cancel cancel when isUnreadable(cancel.job()) ->
                    done.accept(UNREADABLE_JOB);
            case CallRequest.Read read when isUnreadable(read.job()) -> done.accept(UNREADABLE_JOB);
            case CallRequest.Submit submit -> submit(submit, done);
            case CallRequest.Cancel cancel -> cancel(cancel, done);
            case CallRequest.Read read -> read(read.job(), done);
            case CallRequest.Count count ->
                    done.accept(new CallAnswer.Pending(mOwner.countPendingJobs(count.queue())));
        }
    }

    private void read(JobId id, Consumer<CallAnswer> done) {
        Optional<Job> job = mOwner.find(id);
        if (job.isPresent()) {
            done.accept(new CallAnswer.State(job.get().state()));
        } else {
            answerAbsentJob(done);
        }
    }

    /**
     * Answers a call for a job that is missing here. A later owner may have accepted it, so the
     * store has to show first that there is none.
     */
    private void answerAbsentJob(Consumer<CallAnswer> done) {
        mTermCheck.request(
                result ->
                        done.accept(
                                switch (result) {
                                    case NEWEST -> new CallAnswer.NoSuchJob();
                                    case SUPERSEDED -> null;
                                    case UNKNOWN ->
                                            new CallAnswer.Refused(
                                                    UNCONFIRMED, false, OWNER_RETRY_AFTER);
                                }));
    }

    private boolean isUnreadable(JobId job) {
        return mUnreadableKeys.contains(StoreKeys.job(job));
    }

    /** Accepts the link of an agent, which gets start orders once it has reported its state. */
    LinkListener acceptAgent(Link link, NodeMessage.AgentHello hello) {
        AgentLink agent = new AgentLink(link, hello);
        AgentLink previous = mAgentLinks.put(hello.agent(), agent);
        if (previous != null) {
            previous.mLink.close("replaced by a newer link of the same agent");
            mOwner.handleDisconnect(hello.agent());
        }
        link.send(new NodeMessage.Welcome(term()));
        return agent;
    }

    /** Accepts the link of an entry, which forwards calls. */
    LinkListener acceptEntry(Link link, NodeMessage.EntryHello hello) {
        EntryLink entry = new EntryLink(this, link, hello.entry());
        mEntryLinks.add(entry);
        link.send(new NodeMessage.Welcome(term()));
        return entry;
    }

    void removeEntry(EntryLink entry) {
        mEntryLinks.remove(entry);
    }

    /** Handles that the store has shown this term to be the newest, and all registered entries. */
    void confirmByStore(Timestamp askedAt) {
        mEntryLinks.registeredEntriesRead();
        mOwner.confirmByStore(askedAt);
    }

    private Set<DaemonId> possibleSuccessors() {
        return mEntryLinks.possibleSuccessors(mOtherEntries.get());
    }

    /** Handles the statement of an entry that it is stopping and will begin no term any more. */
    void handleWithdrawal(DaemonId entry) {
        mLog.record("entry.withdrawn", entry.value(), "term", term());
        mEntryLinks.withdraw(entry);
    }

    /** Handles the statement of an entry that it had begun no later term at a query. */
    void handleTermAnswer(long number, DaemonId entry) {
        if (isReady()) {
            mPoll.handleAnswer(number, entry).ifPresent(mOwner::confirmByEntries);
        }
    }

    @Override
    public void start(DaemonId agent, StartOrder order) {
        AgentLink link = mAgentLinks.get(agent);
        if (link != null) {
            link.sendStart(order);
        }
    }

    @Override
    public void stop(DaemonId agent, TaskName task, long run) {
        send(agent, new NodeMessage.Stop(task, run));
    }

    @Override
    public void sendProfile(DaemonId agent, TaskName task, long run, RunProfile profile) {
        send(agent, new NodeMessage.Describe(task, run, profile));
    }

    @Override
    public void acknowledgeEnds(DaemonId agent, long number) {
        AgentLink link = mAgentLinks.get(agent);
        if (link != null && link.mWorker != null && number > link.mHighestStoredEnd) {
            link.mHighestStoredEnd = number;
            link.mLink.send(new NodeMessage.EndsStored(link.mWorker, number));
        }
    }

    @Override
    public void recordsWritten() {
        mOwner.acknowledge();
        acceptStoredCalls();
        scheduleSoon();
    }

    @Override
    public void writeFailed() {
        mWaitingCalls.stream()
                .filter(this::isRefusable)
                .map(WaitingCall::mJob)
                .distinct()
                .toList()
                .forEach(this::refuseJob);
    }

    @Override
    public void deposed() {
        mOnDeposed.run();
    }

    private void retryLoad(Consumer<JobOwner> onLoaded) {
        if (!mStopped) {
            load(onLoaded);
        }
    }

    private void loadJobs(List<StoreItem> vmItems, Consumer<JobOwner> onLoaded) {
        mStore.read(
                StoreKeys.JOB_PREFIX,
                false,
                outcome -> {
                    if (mStopped) {
                        return;
                    }
                    if (outcome instanceof ReadOutcome.Items items) {
                        finishLoad(vmItems, items.items(), onLoaded);
                    } else {
                        mTimers.after(LOAD_RETRY_DELAY, () -> retryLoad(onLoaded));
                    }
                });
    }

    private void finishLoad(
            List<StoreItem> vmItems, List<StoreItem> jobs, Consumer<JobOwner> onLoaded) {
        JobOwner owner =
                new JobOwner(
                        mSettings.owner(), mClock, this, mLog, mTakeover, decodeVmList(vmItems));
        for (StoreItem item : jobs) {
            try {
                owner.load(item.value(), item.revision());
            } catch (IOException e) {
                mLog.record("owner.unreadable", item.key(), "cause", e.getMessage());
                mUnreadableKeys.add(item.key());
            }
        }
        mOwner = owner;
        mWriter = new RecordWriter(owner, mStore, mTimers, mClock, mLog, mTermRevision, this);
        mLog.record(
                "owner.loaded",
                term(),
                "jobs",
                jobs.size(),
                "known_to_former_owner",
                mTakeover.knownToFormerOwner());
        mCancelSchedule = mTimers.every(SCHEDULE_INTERVAL, this::schedule);
        onLoaded.accept(owner);
    }

    private VmList decodeVmList(List<StoreItem> items) {
        byte[] record = items.isEmpty() ? new byte[0] : items.getFirst().value();
        long revision = items.isEmpty() ? 0 : items.getFirst().revision();
        try {
            return JobOwner.decodeVmList(record, revision);
        } catch (IOException e) {
            mLog.record("owner.unreadable", StoreKeys.VMS, "cause", e.getMessage());
            return VmList.unreadable(revision);
        }
    }

    private void submit(CallRequest.Submit submit, Consumer<CallAnswer> done) {
        boolean known = mOwner.knows(submit.submission().id());
        if (!known && mWriter.failingTime().toMillis() > MAX_STORE_WAIT_MILLIS) {
            done.accept(storeUnavailableAnswer());
            return;
        }
        switch (mOwner.submit(submit.submission(), submit.queue())) {
            case SubmitResult.Known result -> answerWhenStored(result.job(), 1, done);
            case SubmitResult.Refused refused ->
                    done.accept(
                            new CallAnswer.Refused(refused.reason(), true, refused.retryAfter()));
            case SubmitResult.Overloaded overloaded -> refuseAfterCheck(submit, overloaded, done);
        }
    }

    /**
     * Refuses a job once the store has shown that no later owner can have accepted it from an
     * earlier try of the same submission.
     */
    private void refuseAfterCheck(
            CallRequest.Submit submit,
            SubmitResult.Overloaded overloaded,
            Consumer<CallAnswer> done) {
        mTermCheck.request(result -> answerAfterCheck(submit, overloaded, result, done));
    }

    /**
     * Answers a submission that was not admitted before the check. Once the ownership has ended,
     * the call may already be at the next owner. A copy of the submission may have been admitted
     * during the check.
     */
    private void answerAfterCheck(
            CallRequest.Submit submit,
            SubmitResult.Overloaded overloaded,
            TermCheck.Result result,
            Consumer<CallAnswer> done) {
        if (mStopped || result == TermCheck.Result.SUPERSEDED) {
            done.accept(null);
        } else if (mOwner.knows(submit.submission().id())) {
            submit(submit, done);
        } else if (result == TermCheck.Result.UNKNOWN) {
            done.accept(new CallAnswer.OutcomeUnknown(UNCONFIRMED));
        } else {
            done.accept(new CallAnswer.Refused(overloaded.reason(), true, overloaded.retryAfter()));
        }
    }

    private void cancel(CallRequest.Cancel cancel, Consumer<CallAnswer> done) {
        Optional<Job> job = mOwner.find(cancel.job()).flatMap(found -> mOwner.cancel(found.id()));
        if (job.isEmpty()) {
            answerAbsentJob(done);
        } else {
            answerWhenStored(job.get(), job.get().version(), done);
        }
    }

    /** Accepts a call once the given version of its job is stored. */
    private void answerWhenStored(Job job, long version, Consumer<CallAnswer> done) {
        if (job.storedVersion() >= version) {
            done.accept(new CallAnswer.Accepted());
            return;
        }
        mWaitingCalls.add(new WaitingCall(job, version, mClock.monotonicMillis(), done));
        mWriter.writeChanges();
    }

    private void acceptStoredCalls() {
        List<WaitingCall> stored =
                mWaitingCalls.stream()
                        .filter(call -> call.mJob.storedVersion() >= call.mVersion)
                        .toList();
        mWaitingCalls.removeAll(stored);
        stored.forEach(call -> call.complete(new CallAnswer.Accepted()));
    }

    /** Returns whether a call waits too long for a new job that no write can have stored. */
    private boolean isRefusable(WaitingCall call) {
        return call.mJob.storedVersion() == 0
                && !mWriter.isUncertain(call.mJob)
                && mClock.monotonicMillis() - call.mWaitingSinceMillis > MAX_STORE_WAIT_MILLIS;
    }

    /** Removes a job that no write can have stored and refuses all calls that wait for it. */
    private void refuseJob(Job job) {
        List<WaitingCall> refused =
                mWaitingCalls.stream().filter(call -> call.mJob == job).toList();
        mWaitingCalls.removeAll(refused);
        mOwner.removeJob(job);
        refused.forEach(call -> call.complete(storeUnavailableAnswer()));
    }

    private static CallAnswer storeUnavailableAnswer() {
        return new CallAnswer.Refused("the store is away", false, STORE_RETRY_AFTER);
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
            writeFailed();
            requestTakeover();
            pollEntries();
            logConfirmation();
            long startedAtNanos = mClock.monotonicNanos();
            mOwner.schedule();
            mPacer.roundTook(Duration.ofNanos(mClock.monotonicNanos() - startedAtNanos));
            mWriter.writeChanges();
        }
    }

    /** Asks the other entries to take over while the writes of this owner fail. */
    private void requestTakeover() {
        long nowMillis = mClock.monotonicMillis();
        boolean due =
                mWriter.failingTime().toMillis() > TAKEOVER_REQUEST_MILLIS
                        && mWriter.lastWriteFailed();
        if (due && nowMillis - mTakeoverRequestedAtMillis > TAKEOVER_REQUEST_MILLIS) {
            mTakeoverRequestedAtMillis = nowMillis;
            mEntryLinks.send(new NodeMessage.TakeOver(term()));
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
            mEntryLinks.send(new NodeMessage.TermQuery(term(), number));
        }
    }

    private void logConfirmation() {
        boolean confirmed = mOwner.ownershipConfirmed();
        if (confirmed != mConfirmed) {
            mConfirmed = confirmed;
            mLog.record(
                    confirmed ? "owner.confirmed" : "owner.unconfirmed",
                    term(),
                    "age_ms",
                    mOwner.confirmationAge().toMillis(),
                    "other_entries",
                    possibleSuccessors().size(),
                    "linked",
                    mEntryLinks.count());
        }
    }

    private void send(DaemonId agent, NodeMessage message) {
        AgentLink link = mAgentLinks.get(agent);
        if (link != null) {
            link.mLink.send(message);
        }
    }

    /** Call that is answered when the given version of a job is stored. */
    private record WaitingCall(
            Job mJob, long mVersion, long mWaitingSinceMillis, Consumer<CallAnswer> mDone) {
        void complete(CallAnswer answer) {
            mDone.accept(answer);
        }
    }

    /** Owner's side of the link to an agent. */
    private final class AgentLink implements LinkListener {
        private final Link mLink;
        private final NodeMessage.AgentHello mHello;

        /** Worker that the agent has reported on this link; null if there is none. */
        private WorkerId mWorker;

        /** Number of the agent's newest ping, which start orders carry as their permit. */
        private long mLatestPing;

        /**
         * False until the first report on this link. Until then no order can be on its way, as
         * those of an earlier link arrived before it was closed, or never.
         */
        private boolean mOrdersPossible;

        private final GrantTimes mGrantTimes = new GrantTimes();

        /** Highest number of an end whose storage was acknowledged on this link. */
        private long mHighestStoredEnd;

        AgentLink(Link link, NodeMessage.AgentHello hello) {
            mLink = link;
            mHello = hello;
        }

        void sendStart(StartOrder order) {
            if (mWorker != null) {
                mLink.send(new NodeMessage.Start(mWorker, mLatestPing, order));
            }
        }

        @Override
        public void received(NodeMessage message) {
            if (mStopped || mAgentLinks.get(mHello.agent()) != this) {
                return;
            }
            switch (message) {
                case NodeMessage.Ping ping -> handlePing(ping);
                case NodeMessage.Report report -> handleReport(report);
                case NodeMessage.Progress progress ->
                        mOwner.handleProgress(
                                mHello.agent(),
                                progress.worker(),
                                progress.starting(),
                                progress.running(),
                                coverage(progress.grant()));
                case NodeMessage.Ends ends -> {
                    mOwner.handleEndedRuns(mHello.agent(), ends.worker(), ends.ends());
                    scheduleSoon();
                }
                case NodeMessage.Outcome outcome -> {
                    mOwner.handleStartOutcome(
                            mHello.agent(), outcome.task(), outcome.run(), outcome.outcome());
                    scheduleSoon();
                }
                case NodeMessage.WorkerUpdate update ->
                        mOwner.handleWorkerUpdate(mHello.agent(), update.worker());
                case NodeMessage.NoWorker statement -> {
                    mWorker = null;
                    mOwner.handleNoWorker(mHello.agent(), statement.reason());
                    scheduleSoon();
                }
                default ->
                        mLog.record(
                                "owner.unexpected",
                                mHello.agent().value(),
                                "message",
                                message.getClass().getSimpleName());
            }
        }

        @Override
        public void closed(String reason) {
            if (mAgentLinks.remove(mHello.agent(), this)) {
                mLog.record("agent.lost", mHello.agent().value(), "cause", reason);
                if (mOwner != null) {
                    mOwner.handleDisconnect(mHello.agent());
                }
            }
        }

        private void handlePing(NodeMessage.Ping ping) {
            mLatestPing = ping.number();
            ping.worker().ifPresent(this::answerLatestPing);
        }

        private void answerLatestPing(WorkerId worker) {
            if (mOwner.grantAuthority(mHello.agent(), worker)) {
                mGrantTimes.add(mLatestPing, mClock.monotonicMillis());
                mLink.send(new NodeMessage.Pong(mLatestPing));
            }
        }

        /** Returns the orders that lists account for which were requested after a grant. */
        private OrderCoverage coverage(long grant) {
            OptionalLong sentAtMillis = mGrantTimes.sentAtMillis(grant);
            return sentAtMillis.isPresent()
                    ? new OrderCoverage.ListsRequestedAfter(sentAtMillis.getAsLong())
                    : new OrderCoverage.NoOrders();
        }

        private void handleReport(NodeMessage.Report message) {
            Long knownStart = mAgentProcessStarts.put(mHello.agent(), mHello.processStartMillis());
            boolean sameProcess = knownStart != null && knownStart == mHello.processStartMillis();
            OrderCoverage coverage =
                    sameProcess && !mOrdersPossible
                            ? new OrderCoverage.AllOrders()
                            : coverage(message.grant());
            mOrdersPossible = true;
            mWorker = message.report().worker().map(WorkerInfo::id).orElse(null);
            mHighestStoredEnd = 0;
            mOwner.handleReport(mHello.agent(), mHello.dataCentre(), message.report(), coverage);
            if (mWorker != null) {
                answerLatestPing(mWorker);
            }
            scheduleSoon();
        }
    }
}
