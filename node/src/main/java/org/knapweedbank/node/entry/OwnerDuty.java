package org.knapweedbank.node.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.jobs.WorkerInfo;
import org.knapweedbank.jobs.owner.Job;
import org.knapweedbank.jobs.owner.JobOwner;
import org.knapweedbank.jobs.owner.OwnerOutput;
import org.knapweedbank.jobs.owner.SubmitResult;
import org.knapweedbank.jobs.owner.VmList;
import org.knapweedbank.model.DaemonId;
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

/** One term of ownership on this entry: loads the records, serves agents and calls, and writes. */
final class OwnerDuty implements OwnerOutput, RecordWriter.Listener {
    private static final Duration LOAD_RETRY = Duration.ofMillis(100);
    private static final Duration SCHEDULE = Duration.ofMillis(100);

    /**
     * How long a new job waits for a store that takes no writes before it is refused. A store that
     * is slow but works answers within this time.
     */
    private static final long STORE_PATIENCE_MILLIS = 700;

    /**
     * Time without a successful write after which other entries are asked to take over. It leaves a
     * slow store alone and is well below the lease, whose end would change the owner anyway.
     */
    private static final long HAND_OVER_MILLIS = 600;

    private static final Duration STORE_RETRY_AFTER = Duration.ofSeconds(1);

    private final EntrySettings mSettings;
    private final Clock mClock;
    private final Timers mTimers;
    private final CoordinationStore mStore;
    private final DecisionLog mLog;
    private final long mTerm;
    private final long mTermRevision;
    private final Runnable mDeposed;
    private final Map<DaemonId, AgentLink> mAgents = new HashMap<>();
    private final Map<DaemonId, Long> mProcesses = new HashMap<>();
    private final List<Link> mEntries = new ArrayList<>();
    private final List<Waiter> mWaiters = new ArrayList<>();
    private JobOwner mOwner;
    private RecordWriter mWriter;
    private Runnable mTimer = () -> {};
    private long mAskedAt = Long.MIN_VALUE / 2;
    private boolean mSchedulePending;
    private boolean mStopped;

    OwnerDuty(
            EntrySettings settings,
            Clock clock,
            Timers timers,
            CoordinationStore store,
            DecisionLog log,
            long term,
            long termRevision,
            Runnable deposed) {
        mSettings = settings;
        mClock = clock;
        mTimers = timers;
        mStore = store;
        mLog = log;
        mTerm = term;
        mTermRevision = termRevision;
        mDeposed = deposed;
    }

    long term() {
        return mTerm;
    }

    boolean ready() {
        return mOwner != null && !mStopped;
    }

    /** Reads what earlier owners stored; serves from then on. */
    void load(Consumer<JobOwner> loaded) {
        mStore.read(
                StoreKeys.VMS,
                false,
                outcome -> {
                    if (outcome instanceof ReadOutcome.Items items) {
                        loadJobs(items.items(), loaded);
                    } else {
                        mTimers.after(LOAD_RETRY, () -> retryLoad(loaded));
                    }
                });
    }

    void stop() {
        mStopped = true;
        mTimer.run();
        if (mWriter != null) {
            mWriter.stop();
        }
        List.copyOf(mAgents.values()).forEach(a -> a.mLink.close("the ownership has ended"));
        List.copyOf(mEntries).forEach(link -> link.close("the ownership has ended"));
        List.copyOf(mWaiters).forEach(w -> w.finish(null));
        mWaiters.clear();
    }

    /** Runs once all records are written, or the time is up. */
    void drain(Duration limit, Runnable done) {
        if (!ready() || mWriter.idle() || limit.isNegative()) {
            done.run();
        } else {
            mTimers.after(LOAD_RETRY, () -> drain(limit.minus(LOAD_RETRY), done));
        }
    }

    /**
     * Handles a call. The answer is null if the ownership ended first; the call may then be
     * repeated at the next owner.
     */
    void call(CallRequest request, Consumer<CallAnswer> done) {
        switch (request) {
            case CallRequest.Submit submit -> submit(submit, done);
            case CallRequest.Cancel cancel -> cancel(cancel, done);
            case CallRequest.Read read ->
                    done.accept(
                            mOwner.find(read.job())
                                    .<CallAnswer>map(job -> new CallAnswer.State(job.state()))
                                    .orElseGet(CallAnswer.NoSuchJob::new));
            case CallRequest.Count count ->
                    done.accept(new CallAnswer.Pending(mOwner.pending(count.queue())));
        }
    }

    /** Accepts an agent; its link gets orders once it has reported. */
    LinkListener agent(Link link, NodeMessage.AgentHello hello) {
        AgentLink agent = new AgentLink(link, hello);
        AgentLink former = mAgents.put(hello.agent(), agent);
        if (former != null) {
            former.mLink.close("replaced by a newer link");
        }
        link.send(new NodeMessage.Welcome(mTerm));
        return agent;
    }

    /** Accepts an entry that passes calls. */
    LinkListener entry(Link link) {
        mEntries.add(link);
        link.send(new NodeMessage.Welcome(mTerm));
        return new EntryLink(this, link);
    }

    void entryClosed(Link link) {
        mEntries.remove(link);
    }

    @Override
    public void start(DaemonId agent, StartOrder order) {
        AgentLink link = mAgents.get(agent);
        if (link != null) {
            link.start(order);
        }
    }

    @Override
    public void stop(DaemonId agent, TaskName task, long run) {
        send(agent, new NodeMessage.Stop(task, run));
    }

    @Override
    public void describe(DaemonId agent, TaskName task, long run, RunProfile profile) {
        send(agent, new NodeMessage.Describe(task, run, profile));
    }

    @Override
    public void acknowledgeEnds(DaemonId agent, long number) {
        AgentLink link = mAgents.get(agent);
        if (link != null && number > link.mEndsStored) {
            link.mEndsStored = number;
            link.mLink.send(new NodeMessage.EndsStored(number));
        }
    }

    @Override
    public void written() {
        mOwner.acknowledge();
        settle();
        scheduleSoon();
    }

    @Override
    public void failing() {
        mWaiters.stream()
                .filter(this::hopeless)
                .map(Waiter::mJob)
                .distinct()
                .toList()
                .forEach(this::refuse);
    }

    @Override
    public void deposed() {
        mDeposed.run();
    }

    private void retryLoad(Consumer<JobOwner> loaded) {
        if (!mStopped) {
            load(loaded);
        }
    }

    private void loadJobs(List<StoreItem> vmItems, Consumer<JobOwner> loaded) {
        mStore.read(
                StoreKeys.JOBS,
                false,
                outcome -> {
                    if (mStopped) {
                        return;
                    }
                    if (outcome instanceof ReadOutcome.Items items) {
                        begin(vmItems, items.items(), loaded);
                    } else {
                        mTimers.after(LOAD_RETRY, () -> retryLoad(loaded));
                    }
                });
    }

    private void begin(List<StoreItem> vmItems, List<StoreItem> jobs, Consumer<JobOwner> loaded) {
        JobOwner owner =
                new JobOwner(mSettings.owner(), mClock, this, mLog, mTerm, vmList(vmItems));
        for (StoreItem item : jobs) {
            try {
                owner.load(item.value(), item.revision());
            } catch (IOException e) {
                mLog.record("owner.unreadable", item.key(), "cause", e.getMessage());
            }
        }
        mOwner = owner;
        mWriter = new RecordWriter(owner, mStore, mTimers, mClock, mLog, mTermRevision, this);
        mLog.record("owner.loaded", mTerm, "jobs", jobs.size());
        mTimer = mTimers.every(SCHEDULE, this::schedule);
        loaded.accept(owner);
    }

    private VmList vmList(List<StoreItem> items) {
        byte[] record = items.isEmpty() ? new byte[0] : items.getFirst().value();
        long revision = items.isEmpty() ? 0 : items.getFirst().revision();
        try {
            return JobOwner.vmList(record, revision);
        } catch (IOException e) {
            mLog.record("owner.unreadable", StoreKeys.VMS, "cause", e.getMessage());
            return emptyList(revision);
        }
    }

    private static VmList emptyList(long revision) {
        try {
            return JobOwner.vmList(new byte[0], revision);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void submit(CallRequest.Submit submit, Consumer<CallAnswer> done) {
        boolean known = mOwner.knows(submit.submission().id());
        if (!known && mWriter.failing().toMillis() > STORE_PATIENCE_MILLIS) {
            done.accept(storeAway());
            return;
        }
        switch (mOwner.submit(submit.submission(), submit.queue())) {
            case SubmitResult.Known result -> await(result.job(), 1, done);
            case SubmitResult.Refused refused ->
                    done.accept(
                            new CallAnswer.Refused(refused.reason(), true, refused.retryAfter()));
        }
    }

    private void cancel(CallRequest.Cancel cancel, Consumer<CallAnswer> done) {
        Optional<Job> job = mOwner.find(cancel.job()).flatMap(j -> mOwner.cancel(j.id()));
        if (job.isEmpty()) {
            done.accept(new CallAnswer.NoSuchJob());
        } else {
            await(job.get(), job.get().version(), done);
        }
    }

    private void await(Job job, long version, Consumer<CallAnswer> done) {
        if (job.storedVersion() >= version) {
            done.accept(new CallAnswer.Accepted());
            return;
        }
        mWaiters.add(new Waiter(job, version, mClock.monotonicMillis(), done));
        mWriter.pump();
    }

    private void settle() {
        List<Waiter> stored =
                mWaiters.stream().filter(w -> w.mJob.storedVersion() >= w.mVersion).toList();
        mWaiters.removeAll(stored);
        stored.forEach(w -> w.finish(new CallAnswer.Accepted()));
    }

    /** A new job that no write can have stored, waiting for a store that does not answer. */
    private boolean hopeless(Waiter waiter) {
        return waiter.mJob.storedVersion() == 0
                && !mWriter.uncertain(waiter.mJob)
                && mClock.monotonicMillis() - waiter.mSince > STORE_PATIENCE_MILLIS;
    }

    /** Forgets a job that no write can have stored, and answers all calls that wait for it. */
    private void refuse(Job job) {
        List<Waiter> refused = mWaiters.stream().filter(w -> w.mJob == job).toList();
        mWaiters.removeAll(refused);
        mOwner.withdraw(job);
        refused.forEach(w -> w.finish(storeAway()));
    }

    private static CallAnswer storeAway() {
        return new CallAnswer.Refused("the store is away", false, STORE_RETRY_AFTER);
    }

    private void scheduleSoon() {
        if (!mSchedulePending) {
            mSchedulePending = true;
            mTimers.after(Duration.ofMillis(1), this::schedule);
        }
    }

    private void schedule() {
        mSchedulePending = false;
        if (ready()) {
            failing();
            askForTakeover();
            mOwner.schedule();
            mWriter.pump();
        }
    }

    /** Asks the entries to take over while the store refuses this one's writes. */
    private void askForTakeover() {
        long now = mClock.monotonicMillis();
        boolean due = mWriter.failing().toMillis() > HAND_OVER_MILLIS && mWriter.failed();
        if (due && now - mAskedAt > HAND_OVER_MILLIS) {
            mAskedAt = now;
            mEntries.forEach(link -> link.send(new NodeMessage.TakeOver(mTerm)));
        }
    }

    private void send(DaemonId agent, NodeMessage message) {
        AgentLink link = mAgents.get(agent);
        if (link != null) {
            link.mLink.send(message);
        }
    }

    /** A call that waits until a version of a job is stored. */
    private record Waiter(Job mJob, long mVersion, long mSince, Consumer<CallAnswer> mDone) {
        void finish(CallAnswer answer) {
            mDone.accept(answer);
        }
    }

    /** Link of one agent. */
    private final class AgentLink implements LinkListener {
        private final Link mLink;
        private final NodeMessage.AgentHello mHello;
        private WorkerId mWorker;
        private long mPing;
        private long mEndsStored;

        AgentLink(Link link, NodeMessage.AgentHello hello) {
            mLink = link;
            mHello = hello;
        }

        void start(StartOrder order) {
            if (mWorker != null) {
                mLink.send(new NodeMessage.Start(mWorker, mPing, order));
            }
        }

        @Override
        public void received(NodeMessage message) {
            if (mStopped || mAgents.get(mHello.agent()) != this) {
                return;
            }
            switch (message) {
                case NodeMessage.Ping ping -> ping(ping.number());
                case NodeMessage.Report report -> report(report);
                case NodeMessage.Progress progress ->
                        mOwner.progress(mHello.agent(), progress.worker(), progress.running());
                case NodeMessage.Ends ends -> {
                    mOwner.ended(mHello.agent(), ends.worker(), ends.ends());
                    scheduleSoon();
                }
                case NodeMessage.Outcome outcome -> {
                    mOwner.outcome(
                            mHello.agent(), outcome.task(), outcome.run(), outcome.outcome());
                    scheduleSoon();
                }
                case NodeMessage.WorkerUpdate update ->
                        mOwner.update(mHello.agent(), update.worker());
                case NodeMessage.WorkerLost lost -> {
                    mOwner.workerLost(mHello.agent(), lost.worker(), lost.reason());
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
            if (mAgents.remove(mHello.agent(), this)) {
                mLog.record("agent.lost", mHello.agent().value(), "cause", reason);
                if (mOwner != null) {
                    mOwner.disconnected(mHello.agent());
                }
            }
        }

        private void ping(long number) {
            mPing = number;
            if (mOwner.answers(mHello.agent())) {
                mLink.send(new NodeMessage.Pong(number));
            }
        }

        private void report(NodeMessage.Report message) {
            Long process = mProcesses.put(mHello.agent(), mHello.process());
            boolean same = process != null && process == mHello.process();
            mWorker = message.report().worker().map(WorkerInfo::id).orElse(null);
            mEndsStored = 0;
            mOwner.report(mHello.agent(), mHello.dataCentre(), message.report(), same);
            if (mOwner.answers(mHello.agent())) {
                mLink.send(new NodeMessage.Pong(mPing));
            }
            scheduleSoon();
        }
    }
}
