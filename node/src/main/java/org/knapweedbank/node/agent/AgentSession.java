package org.knapweedbank.node.agent;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.knapweedbank.jobs.AgentReport;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.EndedTask;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.StartOutcome;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.jobs.WorkerInfo;
import org.knapweedbank.node.Timers;
import org.knapweedbank.node.agent.RunTable.Run;
import org.knapweedbank.node.link.Link;
import org.knapweedbank.node.link.NodeMessage;
import org.knapweedbank.time.Clock;

/**
 * The agent's side of its worker: renews the lease as far as the owner allows, carries out orders,
 * reports ends, and paces fillers for the sake of serving tasks.
 */
public final class AgentSession {
    private static final Duration TICK = Duration.ofMillis(500);

    /** Pause before the worker is asked again after it gave no answer. */
    private static final Duration RETRY = Duration.ofMillis(150);

    /** Longest wait for the acknowledgement of listed ends before the worker is asked again. */
    private static final Duration END_PAUSE = Duration.ofMillis(100);

    /** Largest rate error of the worker's clock, as a factor. */
    private static final double CLOCK_RATE_FACTOR = 1.02;

    private static final long CLOCK_MARGIN_MILLIS = 400;

    private final AgentSettings mSettings;
    private final Clock mClock;
    private final Timers mTimers;
    private final WorkerPort mPort;
    private final DecisionLog mLog;
    private final RunTable mRuns = new RunTable();
    private final LeaseAuthority mAuthority;
    private final FillerPacer mPacer = new FillerPacer();
    private final long mStartedAt;
    private WorkerInfo mWorker;
    private Link mOwner;
    private long mTerm;
    private boolean mReported;
    private boolean mLost;
    private int mLoop;
    private Runnable mPausedLoop = () -> {};
    private boolean mLoopPaused;
    private int mTicks;

    /** Newest paces of fillers, for the log. */
    private List<Integer> mPaces = List.of();

    /**
     * Creates the session and starts its timer.
     *
     * @param settings time bounds
     * @param clock source of time
     * @param timers timers of the process
     * @param port calls to the worker
     * @param log receives decisions
     */
    public AgentSession(
            AgentSettings settings, Clock clock, Timers timers, WorkerPort port, DecisionLog log) {
        mSettings = settings;
        mClock = clock;
        mTimers = timers;
        mPort = port;
        mLog = log;
        mAuthority = new LeaseAuthority(clock, settings.taskLease());
        mStartedAt = clock.monotonicMillis();
        timers.every(TICK, this::tick);
    }

    /**
     * Takes a status report of the worker.
     *
     * @param info what the worker says of itself
     */
    public void worker(WorkerInfo info) {
        if (mWorker != null && mWorker.id().equals(info.id())) {
            boolean changed = !mWorker.equals(info);
            mWorker = info;
            if (changed) {
                mLog.record("worker.update", info.id(), "draining", info.draining());
                report(new NodeMessage.WorkerUpdate(info));
            }
            return;
        }
        if (mWorker != null && info.id().incarnation() < mWorker.id().incarnation()) {
            mLog.record("worker.outdated", info.id(), "present", mWorker.id());
            return;
        }
        mLog.record("worker.joined", info.id(), "service", info.service());
        reset();
        mWorker = info;
        listAgain();
    }

    /**
     * Takes the worker's notice that it ends; all that it runs ends with it.
     *
     * @param id identifier in the notice
     */
    public void left(String id) {
        if (mWorker != null && mWorker.id().id().equals(id)) {
            mLog.record("worker.left", mWorker.id());
            report(new NodeMessage.WorkerLost(mWorker.id(), "the worker has left"));
            reset();
        }
    }

    /**
     * Highest term of an owner that this agent has obeyed.
     *
     * @return the term, 0 if none
     */
    public long term() {
        return mTerm;
    }

    /**
     * Takes a connection to the owner.
     *
     * @param owner the link
     * @param term term of the owner, not below {@link #term()}
     */
    public void connected(Link owner, long term) {
        mOwner = owner;
        mTerm = term;
        mReported = false;
        listAgain();
        ping();
    }

    /** Takes the loss of the connection to the owner. */
    public void disconnected() {
        mOwner = null;
        mReported = false;
    }

    /**
     * Takes a message of the owner.
     *
     * @param message the message
     */
    public void received(NodeMessage message) {
        switch (message) {
            case NodeMessage.Pong pong -> mAuthority.granted(pong.number());
            case NodeMessage.Start start -> start(start);
            case NodeMessage.Stop stop -> stop(stop.task(), stop.run());
            case NodeMessage.Describe describe -> describe(describe);
            case NodeMessage.EndsStored stored -> endsStored(stored.number());
            default -> mLog.record("agent.unexpected", message.getClass().getSimpleName());
        }
    }

    private void reset() {
        mWorker = null;
        mReported = false;
        mLost = false;
        mLoop++;
        mRuns.clear();
        mAuthority.reset();
    }

    /** Asks the worker for its lists at once, under the present term, and goes on asking. */
    private void listAgain() {
        mLoop++;
        if (mWorker != null && mTerm > 0) {
            hold(mLoop, Duration.ZERO);
        }
    }

    private void hold(int loop, Duration wait) {
        if (loop != mLoop) {
            return;
        }
        long sentAt = mClock.monotonicMillis();
        long limit = mAuthority.limit();
        OptionalLong deadline =
                limit > mAuthority.workerClock() && mAuthority.hasReading()
                        ? OptionalLong.of(limit)
                        : OptionalLong.empty();
        WorkerId worker = mWorker.id();
        HoldRequest request = new HoldRequest(worker, mTerm, mRuns.acknowledged(), deadline, wait);
        mPort.hold(request, reply -> held(loop, worker, mTerm, sentAt, reply));
    }

    private void held(int loop, WorkerId worker, long term, long sentAt, HoldReply reply) {
        if (mWorker == null || !mWorker.id().equals(worker)) {
            return;
        }
        switch (reply) {
            case HoldReply.Held held -> {
                if (held.incarnation() == worker.incarnation() && mAuthority.read(held.clock())) {
                    listed(held, term, sentAt);
                }
                next(loop, held.ended().isEmpty() ? Duration.ZERO : END_PAUSE);
            }
            case HoldReply.Fenced ignored -> {
                mLog.record("worker.fenced", worker, "term", mTerm);
                if (mOwner != null && term == mTerm) {
                    mOwner.close("the worker has seen a later term than " + mTerm);
                }
                next(loop, TICK);
            }
            case HoldReply.OtherWorker ignored -> next(loop, RETRY);
            case HoldReply.NoAnswer none -> {
                mLog.record("worker.silent", worker, "cause", none.reason());
                next(loop, RETRY);
            }
        }
    }

    private void next(int loop, Duration pause) {
        if (loop != mLoop) {
            return;
        }
        if (pause.isZero()) {
            hold(loop, mSettings.holdWait());
            return;
        }
        mLoopPaused = true;
        Runnable resume =
                () -> {
                    if (mLoopPaused && loop == mLoop) {
                        mLoopPaused = false;
                        hold(loop, mSettings.holdWait());
                    }
                };
        Runnable cancel = mTimers.after(pause, resume);
        mPausedLoop =
                () -> {
                    cancel.run();
                    resume.run();
                };
    }

    private void listed(HoldReply.Held held, long term, long sentAt) {
        long now = mClock.monotonicMillis();
        mRuns.list(held.running(), sentAt, now);
        List<EndedTask> fresh = mRuns.ended(held.ended());
        settleStarts(held.clock());
        if (mLost) {
            mLost = false;
            mReported = false;
        }
        if (!mReported) {
            if (term == mTerm && mOwner != null) {
                sendReport();
            }
        } else if (!fresh.isEmpty()) {
            report(new NodeMessage.Ends(mWorker.id(), fresh));
        }
        paceFillers();
    }

    private void sendReport() {
        mReported = true;
        mOwner.send(
                new NodeMessage.Report(
                        new AgentReport(
                                Optional.of(mWorker),
                                true,
                                mRuns.starting(),
                                mRuns.running(),
                                mRuns.unacknowledged())));
    }

    /** Ends the wait for start orders that have got no answer and can't be carried out any more. */
    private void settleStarts(long workerClock) {
        mRuns.runs().stream()
                .filter(run -> !run.mStarted && run.mUnanswered && run.mDeadline < workerClock)
                .toList()
                .forEach(run -> notStarted(run, StartOutcome.NOT_STARTED, "no answer in time"));
    }

    private void start(NodeMessage.Start message) {
        StartOrder order = message.order();
        if (mRuns.find(order.task(), order.run()) != null) {
            return;
        }
        String obstacle = obstacle(message);
        if (obstacle != null) {
            outcome(order, StartOutcome.NOT_PERMITTED, obstacle);
            return;
        }
        long deadline =
                Math.min(
                        mAuthority.limit(),
                        mAuthority.workerClock() + mSettings.startDeadline().toMillis());
        Run run = mRuns.ordered(order, deadline, mClock.monotonicMillis());
        mPort.start(mWorker.id(), order, deadline, mTerm, reply -> startReplied(order, run, reply));
    }

    /** Why a start must not be passed on; null if it may. */
    private String obstacle(NodeMessage.Start message) {
        if (mWorker == null || !mWorker.id().equals(message.worker())) {
            return "another worker";
        }
        if (mWorker.draining()) {
            return "the worker is draining";
        }
        if (!mAuthority.fresh(message.permit(), mSettings.permitAge())) {
            return "permit " + message.permit() + " is too old";
        }
        if (mAuthority.limit() <= mAuthority.workerClock()) {
            return "no authority over leases";
        }
        return mRuns.runs().stream().anyMatch(r -> r.mTask.equals(message.order().task()))
                ? "another run of the task is here"
                : null;
    }

    private void startReplied(StartOrder order, Run run, StartReply reply) {
        if (mRuns.find(run.mTask, run.mNumber) != run) {
            return;
        }
        switch (reply) {
            case StartReply.Started ignored -> {
                run.started(mClock.monotonicMillis());
                outcome(order, StartOutcome.STARTED, "");
                applyPace();
            }
            case StartReply.Refused refused -> {
                boolean full =
                        refused.cause() == StartReply.Cause.NO_ROOM
                                || refused.cause() == StartReply.Cause.UNHEALTHY;
                StartOutcome outcome = full ? StartOutcome.REFUSED : StartOutcome.NOT_STARTED;
                notStarted(run, outcome, refused.cause().name());
            }
            case StartReply.NoAnswer none -> {
                run.mUnanswered = true;
                mLog.record("task.start_unanswered", run.mTask, "cause", none.reason());
            }
        }
    }

    private void notStarted(Run run, StartOutcome outcome, String reason) {
        mRuns.remove(run);
        mLog.record("task.not_started", run.mTask, "run", run.mNumber, "reason", reason);
        report(new NodeMessage.Outcome(run.mTask, run.mNumber, outcome));
    }

    private void outcome(StartOrder order, StartOutcome outcome, String reason) {
        mLog.record(
                "task.start",
                order.task(),
                "run",
                order.run(),
                "outcome",
                outcome,
                "reason",
                reason);
        report(new NodeMessage.Outcome(order.task(), order.run(), outcome));
    }

    private void stop(TaskName task, long number) {
        if (mWorker == null) {
            return;
        }
        Run run = mRuns.find(task, number);
        if (run != null) {
            run.mStopping = true;
            run.mStopSentAt = mClock.monotonicMillis();
        }
        mPort.stop(mWorker.id(), task, number, mTerm, taken -> {});
    }

    private void describe(NodeMessage.Describe message) {
        Run run = mRuns.find(message.task(), message.run());
        if (run != null) {
            run.mProfile = message.profile();
        }
    }

    private void endsStored(long number) {
        mRuns.acknowledge(number);
        if (mLoopPaused && mRuns.unacknowledged().isEmpty()) {
            mPausedLoop.run();
        }
    }

    private void paceFillers() {
        List<Double> loads = mRuns.runs().stream().map(Run::load).filter(l -> l > 0).toList();
        mPacer.observe(mClock.monotonicMillis(), loads, pressure());
        applyPace();
    }

    private double worstLoad() {
        return mRuns.runs().stream().mapToDouble(Run::load).max().orElse(0);
    }

    /** Rise of utilization that the running fillers would cause at full pace. */
    private double pressure() {
        return mRuns.runs().stream()
                .filter(run -> run.mStarted)
                .mapToDouble(run -> run.mProfile.pressure())
                .sum();
    }

    private void applyPace() {
        List<Run> fillers =
                mRuns.runs().stream()
                        .filter(run -> run.mStarted && run.mProfile.pressure() > 0)
                        .toList();
        List<Integer> paces = mPacer.paces(fillers.stream().map(run -> run.mProfile).toList());
        logPaces(paces);
        for (int i = 0; i < paces.size(); i++) {
            if (fillers.get(i).mPace != paces.get(i)) {
                pace(fillers.get(i), paces.get(i));
            }
        }
    }

    private void logPaces(List<Integer> paces) {
        if (!paces.equals(mPaces)) {
            mLog.record(
                    "fillers.pace",
                    mWorker.id(),
                    "percents",
                    paces,
                    "worst_load",
                    worstLoad(),
                    "pressure",
                    pressure());
            mPaces = paces;
        }
    }

    private void pace(Run run, int pace) {
        int before = run.mPace;
        run.mPace = pace;
        mPort.pace(
                mWorker.id(),
                run.mTask,
                run.mNumber,
                pace,
                mTerm,
                taken -> {
                    if (!taken && run.mPace == pace) {
                        run.mPace = before;
                    }
                });
    }

    private void tick() {
        mTicks++;
        ping();
        if (mWorker == null) {
            return;
        }
        if (mReported && mTicks % 2 == 0) {
            report(new NodeMessage.Progress(mWorker.id(), mRuns.running()));
        }
        long now = mClock.monotonicMillis();
        mRuns.runs().stream()
                .filter(run -> run.mStopping && now - run.mStopSentAt >= TICK.toMillis())
                .toList()
                .forEach(run -> stop(run.mTask, run.mNumber));
        if (!mLost && leaseOver()) {
            mLost = true;
            mLog.record("worker.lost", mWorker.id(), "silent_ms", mAuthority.silence().toMillis());
            mRuns.runs().clear();
            report(new NodeMessage.WorkerLost(mWorker.id(), "silent until its lease ended"));
        }
    }

    /** Tells whether all that runs on a silent worker has certainly ended. */
    private boolean leaseOver() {
        long lease = mSettings.taskLease().toMillis();
        long silence = mClock.monotonicMillis() - mStartedAt;
        if (mAuthority.hasReading()) {
            silence = mAuthority.silence().toMillis();
            long left = mAuthority.limit() - (mAuthority.workerClock() - silence);
            lease = mAuthority.limit() == Long.MIN_VALUE ? lease : Math.max(0, left);
        }
        return silence > lease * CLOCK_RATE_FACTOR + CLOCK_MARGIN_MILLIS;
    }

    private void ping() {
        if (mOwner != null) {
            mOwner.send(new NodeMessage.Ping(mAuthority.request()));
        }
    }

    private void report(NodeMessage message) {
        if (mOwner != null && mReported) {
            mOwner.send(message);
        }
    }
}
