package org.knapweedbank.node.agent;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.knapweedbank.jobs.AgentReport;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.EndedRun;
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
 * Controls the worker on the agent's VM. Renews its lease as far as the owner has granted, passes
 * on the owner's orders, reports the ends of runs, and throttles fillers (batch tasks that use
 * spare processor time) to protect the latency of serving tasks.
 */
public final class AgentSession {
    /** Interval of pings to the owner, of repeated stop orders and of the lease check. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(500);

    /** Delay before the next call after the worker did not answer. */
    static final Duration RETRY_DELAY = Duration.ofMillis(150);

    /**
     * Maximum delay of the next lease renewal while the owner has not acknowledged all reported
     * ends. Without it the worker, which answers at once while it has ends to report, would list
     * the same ends again.
     */
    private static final Duration MAX_ACKNOWLEDGEMENT_WAIT = Duration.ofMillis(100);

    /** Age of lists above which they don't show any more that the worker is idle. */
    private static final Duration MAX_IDLE_LIST_AGE = Duration.ofSeconds(2);

    private final AgentSettings mSettings;
    private final Clock mClock;
    private final Timers mTimers;
    private final WorkerClient mWorkerClient;
    private final DecisionLog mLog;
    private final RunLog mRunLog;
    private final RunTable mRuns = new RunTable();
    private final LeaseAuthority mAuthority;
    private final FillerThrottle mThrottle;
    private final WorkerProbe mProbe;
    private final UnansweredStarts mUnansweredStarts;
    private final UnreadableEnds mUnreadableEnds;

    /** Worker that takes the calls on this VM; null if none has answered yet. */
    private WorkerInfo mWorker;

    /** Sequence number of the newest status report of the worker. */
    private long mReportSequence;

    /** Worker that has left last; null if none has. */
    private WorkerId mLeftWorker;

    /** Departure of the worker that has announced that it leaves; null if it has not. */
    private WorkerDeparture mDeparture;

    private Link mOwner;
    private long mTerm;

    /** What has been reported to the connected owner. */
    private Reported mReported = Reported.NOTHING;

    /**
     * Reason why nothing runs on the VM; null while the worker holds a lease or one that was given
     * by an earlier process of the agent may last.
     */
    private String mNoWorkerReason;

    /** True if the incarnation in {@link #mWorker} has answered the last lease renewal. */
    private boolean mWorkerAnswers;

    /**
     * False while the attributes of the worker are those of an earlier incarnation, until the first
     * status report of the present one.
     */
    private boolean mAttributesKnown;

    /** Newest grant that had been received when the latest conclusive lists were requested. */
    private long mListsGrant;

    /** Monotonic time in milliseconds at which these lists were requested. */
    private long mListsRequestedAtMillis = Long.MIN_VALUE / 2;

    /** Identifies the current series of lease renewals; replies to earlier series continue none. */
    private int mPollId;

    private Runnable mResumePolling = () -> {};
    private boolean mPollingPaused;
    private int mTickCount;

    /**
     * Creates the session and starts its periodic work.
     *
     * @param settings time limits
     * @param clock source of time
     * @param timers timers of the process
     * @param workerClient calls to the worker
     * @param log receives decisions
     */
    public AgentSession(
            AgentSettings settings,
            Clock clock,
            Timers timers,
            WorkerClient workerClient,
            DecisionLog log) {
        mSettings = settings;
        mClock = clock;
        mTimers = timers;
        mWorkerClient = workerClient;
        mLog = log;
        mRunLog = new RunLog(log);
        mAuthority = new LeaseAuthority(clock, settings.taskLease(), settings.maxWorkerLease());
        mThrottle = new FillerThrottle(clock, workerClient, log, mRuns);
        mUnansweredStarts = new UnansweredStarts(clock, workerClient, log);
        mUnreadableEnds = new UnreadableEnds(clock);
        mProbe = new WorkerProbe(clock, timers, workerClient, log, new ProbeListener());
        timers.every(TICK_INTERVAL, this::tick);
    }

    /**
     * Handles a status report. A worker that it announces replaces the known one only after it has
     * answered a call, since the report may be delayed or come from another process.
     *
     * @param report the report
     */
    public void workerReported(StatusReport report) {
        WorkerInfo info = report.worker();
        if (info.id().equals(mLeftWorker)) {
            mLog.record("worker.outdated", info.id(), "reason", "the worker has left");
            return;
        }
        if (mWorker != null && mWorker.id().equals(info.id())) {
            updateWorker(report);
        } else if (mWorker != null && info.id().incarnation() < mWorker.id().incarnation()) {
            mLog.record("worker.outdated", info.id(), "present", mWorker.id());
        } else {
            mProbe.announce(report);
        }
    }

    /** Updates the attributes of the known worker. */
    private void updateWorker(StatusReport report) {
        WorkerInfo info = report.worker();
        if (report.sequence() <= mReportSequence) {
            return;
        }
        if (mAttributesKnown && !info.service().equals(mWorker.service())) {
            mLog.record("worker.rejected", info.id(), "other_service", info.service());
            return;
        }
        mReportSequence = report.sequence();
        boolean changed = !mWorker.equals(info);
        mWorker = info;
        if (!mAttributesKnown) {
            mAttributesKnown = true;
            mLog.record("worker.joined", info.id(), "service", info.service());
            restartPolling();
        } else if (changed) {
            mLog.record("worker.update", info.id(), "draining", info.draining());
            sendAfterReport(new NodeMessage.WorkerUpdate(info));
        }
    }

    /**
     * Handles the worker's notice that it is shutting down. Its runs are stopped, which saves their
     * checkpoints, and its lease is not extended any more. They may run elsewhere only once the
     * worker's lists show that they have ended, or when the worker itself must have ended.
     *
     * @param id identifier in the notice
     * @param incarnation incarnation in the notice, empty if it names none
     * @param confirm confirms the notice, on which the worker ends; called once
     */
    public void workerLeaving(String id, OptionalLong incarnation, Runnable confirm) {
        if (mWorker != null && isLeaving(mWorker, id, incarnation)) {
            handleNotice(confirm);
            return;
        }
        WorkerInfo candidate = mProbe.candidate();
        if (candidate != null && isLeaving(candidate, id, incarnation)) {
            mLeftWorker = candidate.id();
            mProbe.discard();
        }
        confirm.run();
    }

    /**
     * Returns whether a notice is that of a worker. One that names no incarnation may have been
     * delayed and come from an earlier one; a worker reports that it drains before it leaves.
     */
    private static boolean isLeaving(WorkerInfo worker, String id, OptionalLong incarnation) {
        boolean isIncarnation =
                incarnation.isPresent()
                        ? incarnation.getAsLong() == worker.id().incarnation()
                        : worker.draining();
        return worker.id().id().equals(id) && isIncarnation;
    }

    /** Begins the departure of the worker, or delays the confirmation of a repeated notice. */
    private void handleNotice(Runnable confirm) {
        if (mDeparture != null) {
            mDeparture.add(confirm);
            return;
        }
        mLog.record("worker.leaving", mWorker.id(), "runs", mRuns.runs().size());
        mDeparture = new WorkerDeparture(mClock, mTimers);
        mDeparture.add(confirm);
        stopRunsOfLeavingWorker();
        restartPolling();
    }

    private void stopRunsOfLeavingWorker() {
        mRuns.runs().stream()
                .filter(run -> !run.mStopping)
                .toList()
                .forEach(run -> stopRun(run.mTask, run.mNumber));
    }

    /**
     * Completes the departure if lists that were requested after the notice show that nothing runs
     * on the worker. Ends that the owner has not stored delay this for a short time, as the worker
     * forgets them when it ends.
     */
    private void completeDepartureIfIdle(ListRequest request) {
        boolean idle = mDeparture.precedes(request.sentAtMillis()) && mRuns.runs().isEmpty();
        if (idle && (mRuns.unacknowledged().isEmpty() || mDeparture.isConfirmationDue())) {
            completeDeparture("nothing runs on it any more");
        }
    }

    /**
     * Completes the departure after the worker's address has shown that it has ended. An order
     * without an answer may still reach a next incarnation under its identifier.
     */
    private void completeDepartureIfEnded(String evidence) {
        if (mDeparture != null && mRuns.starting().isEmpty()) {
            completeDeparture(evidence);
        }
    }

    private void completeDeparture(String evidence) {
        mLog.record("worker.left", mWorker.id(), "evidence", evidence);
        mLeftWorker = mWorker.id();
        replaceWorker(null);
        stateNoWorker("the worker has left: " + evidence);
    }

    /**
     * Returns the highest term of an owner whose orders this agent has accepted.
     *
     * @return the term, 0 if none
     */
    public long term() {
        return mTerm;
    }

    /**
     * Handles a new link to the owner.
     *
     * @param owner the link
     * @param term term of the owner, not below {@link #term()}
     */
    public void connected(Link owner, long term) {
        mOwner = owner;
        mTerm = term;
        mReported = Reported.NOTHING;
        if (mNoWorkerReason != null) {
            sendToOwner(new NodeMessage.NoWorker(mNoWorkerReason));
        }
        restartPolling();
        mProbe.setTerm(term);
        sendPing();
    }

    /** Handles the loss of the link to the owner. */
    public void disconnected() {
        mOwner = null;
        mReported = Reported.NOTHING;
    }

    /**
     * Handles a message of the owner.
     *
     * @param message the message
     */
    public void received(NodeMessage message) {
        switch (message) {
            case NodeMessage.Pong pong -> {
                mAuthority.excessLease().update(isIdle());
                mAuthority.grant(pong.number());
            }
            case NodeMessage.Start start -> handleStart(start);
            case NodeMessage.Stop stop -> stopRun(stop.task(), stop.run());
            case NodeMessage.Describe describe -> handleDescribe(describe);
            case NodeMessage.EndsStored stored -> handleEndsStored(stored);
            default -> mLog.record("agent.unexpected", message.getClass().getSimpleName());
        }
    }

    /** Sets another worker, or none, and discards all state of the previous one. */
    private void replaceWorker(WorkerInfo worker) {
        boolean sameId =
                worker != null && mWorker != null && mWorker.id().id().equals(worker.id().id());
        if (sameId) {
            mRuns.clearListed()
                    .forEach(run -> mRunLog.removed(run, "ended with the former incarnation"));
        } else {
            mRuns.clear();
        }
        mWorker = worker;
        if (mDeparture != null) {
            mDeparture.confirm();
            mDeparture = null;
        }
        mReported = Reported.NOTHING;
        mNoWorkerReason = null;
        mListsGrant = 0;
        mListsRequestedAtMillis = Long.MIN_VALUE / 2;
        mWorkerAnswers = false;
        mPollId++;
        mAuthority.reset();
        if (sameId) {
            mAuthority.excessLease().recordRestart(worker.id().incarnation());
        }
    }

    /**
     * Changes to an incarnation that answers under the identifier of the known one, which has ended
     * with all its runs. Nothing is started on it and none of its ends is acknowledged until its
     * status report names its attributes and its lists have been reported to the owner.
     */
    private void handleRestart(long incarnation) {
        WorkerId restarted = new WorkerId(mWorker.id().id(), incarnation);
        mLog.record("worker.restarted", restarted, "previous", mWorker.id().incarnation());
        replaceWorker(mWorker.withId(restarted));
        mAttributesKnown = false;
        mReportSequence = Long.MIN_VALUE;
        restartPolling();
    }

    /** Starts a new series of lease renewals with one that the worker answers at once. */
    private void restartPolling() {
        mPollId++;
        if (mWorker != null && mTerm > 0) {
            renewLease(mPollId, Duration.ZERO);
        }
    }

    private void renewLease(int pollId, Duration maxWait) {
        if (pollId != mPollId) {
            return;
        }
        long sentAtMillis = mClock.monotonicMillis();
        long leaseEndMillis = mAuthority.leaseEndMillis();
        boolean overdue = mAuthority.excessLease().isOverdue();
        OptionalLong newLeaseEndMillis =
                mWorkerAnswers
                                && mDeparture == null
                                && !overdue
                                && leaseEndMillis > mAuthority.workerClockMillis()
                        ? OptionalLong.of(leaseEndMillis)
                        : OptionalLong.empty();
        if (newLeaseEndMillis.isPresent()) {
            mAuthority.excessLease().recordDeadlineSent();
        }
        ListRequest lists = new ListRequest(mTerm, sentAtMillis, mAuthority.newestGrant());
        WorkerId worker = mWorker.id();
        // The worker may have started again since it last answered. A new incarnation would discard
        // ends that nobody has read, as it numbers them from 1 again, and would take a deadline on
        // the clock of its predecessor for one far ahead. An overdue worker keeps its ends, as
        // their tasks may run elsewhere.
        long acknowledgedEnd = mWorkerAnswers && !overdue ? mRuns.highestAcknowledged() : 0;
        LeaseRenewalRequest request =
                new LeaseRenewalRequest(worker, mTerm, acknowledgedEnd, newLeaseEndMillis, maxWait);
        mWorkerClient.renewLease(
                request, reply -> handleRenewalReply(pollId, worker, lists, reply));
    }

    private void handleRenewalReply(
            int pollId, WorkerId worker, ListRequest lists, LeaseRenewalReply reply) {
        if (mWorker == null || !mWorker.id().equals(worker)) {
            return;
        }
        if (reply instanceof LeaseRenewalReply.Renewed renewed
                && renewed.incarnation() > worker.incarnation()) {
            handleRestart(renewed.incarnation());
            return;
        }
        mWorkerAnswers =
                reply instanceof LeaseRenewalReply.Renewed renewed
                        && renewed.incarnation() == worker.incarnation();
        switch (reply) {
            case LeaseRenewalReply.Renewed renewed -> {
                if (mWorkerAnswers && mAuthority.updateWorkerClock(renewed.workerClockMillis())) {
                    applyRunListsSafely(renewed, lists);
                }
                pollAfter(
                        pollId,
                        renewed.ended().isEmpty() ? Duration.ZERO : MAX_ACKNOWLEDGEMENT_WAIT);
            }
            case LeaseRenewalReply.Fenced ignored -> {
                handleFenced(worker, lists.term());
                pollAfter(pollId, TICK_INTERVAL);
            }
            case LeaseRenewalReply.OtherWorker ignored -> {
                completeDepartureIfEnded("another worker answers at its address");
                pollAfter(pollId, RETRY_DELAY);
            }
            case LeaseRenewalReply.NotListening none -> {
                mLog.record("worker.silent", worker, "cause", none.reason());
                completeDepartureIfEnded("no process listens at its address");
                pollAfter(pollId, RETRY_DELAY);
            }
            case LeaseRenewalReply.NoAnswer none -> {
                mLog.record("worker.silent", worker, "cause", none.reason());
                pollAfter(pollId, RETRY_DELAY);
            }
        }
    }

    private void handleFenced(WorkerId worker, long term) {
        mLog.record("worker.fenced", worker, "term", mTerm);
        if (mOwner != null && term == mTerm) {
            mOwner.close("the worker has seen a later term than " + mTerm);
        }
    }

    /** Renews the lease after a pause, unless a new series of renewals has been started. */
    private void pollAfter(int pollId, Duration pause) {
        if (pollId != mPollId) {
            return;
        }
        if (pause.isZero()) {
            renewLease(pollId, maxRenewalWait());
            return;
        }
        mPollingPaused = true;
        Runnable resume =
                () -> {
                    if (mPollingPaused && pollId == mPollId) {
                        mPollingPaused = false;
                        // After a renewal without an answer the worker may have started again,
                        // which its next answer shows.
                        renewLease(pollId, mWorkerAnswers ? maxRenewalWait() : Duration.ZERO);
                    }
                };
        Runnable cancel = mTimers.after(pause, resume);
        mResumePolling =
                () -> {
                    cancel.run();
                    resume.run();
                };
    }

    private Duration maxRenewalWait() {
        return mDeparture == null ? mSettings.maxRenewalWait() : WorkerDeparture.MAX_RENEWAL_WAIT;
    }

    /** Applies the worker's lists of runs; a failure must not end the renewals of the lease. */
    private void applyRunListsSafely(LeaseRenewalReply.Renewed renewed, ListRequest request) {
        try {
            applyRunLists(renewed, request);
        } catch (RuntimeException e) {
            mLog.record("agent.reply_failed", mWorker.id(), "cause", e);
        }
    }

    /** Applies the worker's lists of runs, then reports them and adjusts the pace of fillers. */
    private void applyRunLists(LeaseRenewalReply.Renewed renewed, ListRequest request) {
        long nowMillis = mClock.monotonicMillis();
        mRuns.updateRunning(renewed.running(), nowMillis);
        List<EndedRun> newEnds =
                mRuns.addEnds(mUnreadableEnds.withoutHeldBack(renewed, mRuns.highestReported()));
        if (renewed.conclusive()) {
            mListsGrant = request.newestGrant();
            mListsRequestedAtMillis = request.sentAtMillis();
            mRuns.removeAbsent(renewed.running(), request.sentAtMillis())
                    .forEach(run -> mRunLog.removed(run, "not in the worker's lists"));
            expireUnansweredStarts(renewed.workerClockMillis(), request);
        }
        if (mNoWorkerReason != null) {
            mNoWorkerReason = null;
            mReported = Reported.NOTHING;
        }
        boolean reportable =
                renewed.complete() && mAttributesKnown && request.term() == mTerm && mOwner != null;
        Reported possible = renewed.allEnds() ? Reported.ALL_RUNS : Reported.SOME_ENDS;
        if (reportable && mReported.compareTo(possible) < 0) {
            reportState(possible, renewed.workerClockMillis(), request);
        } else if (mReported != Reported.NOTHING && !newEnds.isEmpty()) {
            sendToOwner(new NodeMessage.Ends(mWorker.id(), newEnds));
        }
        mThrottle.adjust(mWorker.id(), mTerm);
        if (mDeparture != null) {
            stopRunsOfLeavingWorker();
            if (renewed.conclusive()) {
                completeDepartureIfIdle(request);
            }
        }
    }

    /**
     * Reports the runs and ends to the owner. While the worker has more ends than it can list, the
     * report is incomplete; it lets the owner store these ends, after which the worker lists more.
     */
    private void reportState(Reported reported, long workerClockMillis, ListRequest request) {
        mReported = reported;
        mRunLog.reported(
                mWorker.id(),
                mTerm,
                reported,
                mClock.monotonicMillis() - request.sentAtMillis(),
                workerClockMillis,
                mRuns);
        mOwner.send(
                new NodeMessage.Report(
                        request.newestGrant(),
                        new AgentReport(
                                Optional.of(mWorker),
                                reported == Reported.ALL_RUNS,
                                mRuns.starting(),
                                mRuns.running(),
                                mRuns.unacknowledged())));
    }

    /**
     * Reports unanswered start orders as not started if conclusive lists, which do not hold them,
     * were made when the worker could no longer carry them out.
     */
    private void expireUnansweredStarts(long workerClockMillis, ListRequest request) {
        mUnansweredStarts.revoke(mWorker.id(), mTerm, mRuns);
        mRuns.runs().stream()
                .filter(run -> !run.mStarted && run.mUnanswered)
                .filter(run -> canNoLongerStart(run, workerClockMillis, request))
                .toList()
                .forEach(
                        run ->
                                reportNotStarted(
                                        run, StartOutcome.NOT_STARTED, "no answer in time"));
    }

    private boolean canNoLongerStart(Run run, long workerClockMillis, ListRequest request) {
        return run.mOrderedFrom.equals(mWorker.id())
                ? run.mDeadlineMillis < workerClockMillis
                : mUnansweredStarts.isSettled(run, mWorker.id(), request.sentAtMillis());
    }

    /** Passes a start order on to the worker, or reports why it is not permitted. */
    private void handleStart(NodeMessage.Start message) {
        StartOrder order = message.order();
        if (mRuns.find(order.task(), order.run()) != null) {
            return;
        }
        String refusalReason = refusalReason(message);
        if (refusalReason != null) {
            reportOutcome(order, StartOutcome.NOT_PERMITTED, refusalReason);
            return;
        }
        long deadlineMillis =
                Math.min(
                        mAuthority.leaseEndMillis(),
                        startDeadlineMillis(mAuthority.workerClockMillis()));
        Run run = mRuns.addOrdered(order, mWorker.id(), deadlineMillis, mClock.monotonicMillis());
        run.mClockReadingMillis = mAuthority.latestReadingMillis();
        mAuthority.excessLease().recordDeadlineSent();
        mWorkerClient.start(
                mWorker.id(), order, deadlineMillis, mTerm, reply -> handleStartReply(run, reply));
    }

    /** Returns the time on the worker's clock until which it may carry out an order sent now. */
    private long startDeadlineMillis(long workerClockMillis) {
        return workerClockMillis + mSettings.startTimeout().toMillis();
    }

    /** Returns why a start order must not be passed on, or null if it may be. */
    private String refusalReason(NodeMessage.Start message) {
        if (mWorker == null || !mWorker.id().equals(message.worker())) {
            return "the order is for another worker";
        }
        if (!mAttributesKnown) {
            return "the worker has restarted and not reported its attributes";
        }
        if (!mWorkerAnswers) {
            return "the worker has not answered the last lease renewal";
        }
        if (mWorker.draining() || mDeparture != null) {
            return "the worker is draining";
        }
        if (!mAuthority.isRecent(message.permit(), mSettings.maxPermitAge())) {
            return "permit " + message.permit() + " is too old";
        }
        if (mAuthority.excessLease().isOverdue()) {
            return "the worker may hold a lease that was not allowed";
        }
        if (mAuthority.leaseEndMillis() <= mAuthority.workerClockMillis()) {
            return "no authority over leases";
        }
        return mRuns.runs().stream().anyMatch(run -> run.mTask.equals(message.order().task()))
                ? "the worker has another run of the task"
                : null;
    }

    private void handleStartReply(Run run, StartReply reply) {
        if (reply instanceof StartReply.NoAnswer) {
            mUnansweredStarts.add(run);
        }
        if (reply instanceof StartReply.Started started) {
            detectRestart(run, started);
        }
        if (mRuns.find(run.mTask, run.mNumber) != run) {
            mRunLog.answerIgnored(run, reply);
            return;
        }
        switch (reply) {
            case StartReply.Started started -> {
                run.markStarted(mClock.monotonicMillis());
                reportStarted(run, started);
                mThrottle.apply(mWorker.id(), mTerm);
            }
            case StartReply.Refused refused -> {
                boolean atCapacity =
                        refused.cause() == StartReply.Cause.NO_ROOM
                                || refused.cause() == StartReply.Cause.UNHEALTHY;
                StartOutcome outcome = atCapacity ? StartOutcome.REFUSED : StartOutcome.NOT_STARTED;
                reportNotStarted(run, outcome, refused.cause().name());
            }
            case StartReply.NoAnswer none -> {
                run.mUnanswered = true;
                mRunLog.unanswered(run, none);
            }
        }
    }

    /** Handles that the answer to a start shows another incarnation than the order was sent to. */
    private void detectRestart(Run run, StartReply.Started reply) {
        WorkerId orderedFrom = run.mOrderedFrom;
        if (mWorker == null || !mWorker.id().equals(orderedFrom)) {
            return;
        }
        long clockMillis = reply.workerClockMillis().orElse(Long.MAX_VALUE);
        if (reply.incarnation().orElse(orderedFrom.incarnation()) > orderedFrom.incarnation()) {
            handleRestart(reply.incarnation().getAsLong());
        } else if (clockMillis < run.mClockReadingMillis) {
            mWorkerAnswers = false;
            mAuthority.excessLease().recordDeadlineTaken();
            restartPolling();
        }
    }

    private void reportNotStarted(Run run, StartOutcome outcome, String reason) {
        mRuns.remove(run);
        mRunLog.notStarted(run, reason);
        sendToOwner(new NodeMessage.Outcome(run.mTask, run.mNumber, outcome));
    }

    /** Reports a start; the owner waits for nothing that depends on it, so it is not urgent. */
    private void reportStarted(Run run, StartReply.Started reply) {
        mRunLog.started(run, mWorker.id(), reply);
        if (mOwner != null && mReported == Reported.ALL_RUNS) {
            mOwner.sendLater(new NodeMessage.Outcome(run.mTask, run.mNumber, StartOutcome.STARTED));
        }
    }

    private void reportOutcome(StartOrder order, StartOutcome outcome, String reason) {
        mRunLog.refused(order, outcome, reason);
        sendToOwner(new NodeMessage.Outcome(order.task(), order.run(), outcome));
    }

    private void stopRun(TaskName task, long number) {
        if (mWorker == null) {
            return;
        }
        Run run = mRuns.find(task, number);
        if (run != null) {
            run.mStopping = true;
            run.mStopSentAtMillis = mClock.monotonicMillis();
        }
        mWorkerClient.stop(mWorker.id(), task, number, mTerm, accepted -> {});
    }

    private void handleDescribe(NodeMessage.Describe message) {
        Run run = mRuns.find(message.task(), message.run());
        if (run != null) {
            run.mProfile = message.profile();
        }
    }

    private void handleEndsStored(NodeMessage.EndsStored stored) {
        if (mWorker == null || !mWorker.id().equals(stored.worker())) {
            return;
        }
        mRuns.acknowledge(stored.number());
        if (mPollingPaused && mRuns.unacknowledged().isEmpty()) {
            mResumePolling.run();
        }
    }

    /** Pings the owner, reports progress, repeats unfinished stops and checks the lease. */
    private void tick() {
        mTickCount++;
        sendPing();
        if (mNoWorkerReason == null && mAuthority.allLeasesExpired()) {
            handleLeaseExpiry();
        }
        mAuthority.excessLease().update(isIdle());
        stopOverdueRuns();
        if (mReported == Reported.ALL_RUNS && mTickCount % 2 == 0) {
            sendToOwner(
                    new NodeMessage.Progress(
                            mListsGrant, mWorker.id(), mRuns.starting(), mRuns.running()));
        }
        long nowMillis = mClock.monotonicMillis();
        mRuns.runs().stream()
                .filter(
                        run ->
                                run.mStopping
                                        && nowMillis - run.mStopSentAtMillis
                                                >= TICK_INTERVAL.toMillis())
                .toList()
                .forEach(run -> stopRun(run.mTask, run.mNumber));
    }

    /** Returns whether recent lists show that nothing runs and no end is left to be stored. */
    private boolean isIdle() {
        return mRuns.runs().isEmpty()
                && mRuns.unacknowledged().isEmpty()
                && mClock.monotonicMillis() - mListsRequestedAtMillis
                        <= MAX_IDLE_LIST_AGE.toMillis();
    }

    /** Stops the runs that the worker may hold for longer than the owner counts with. */
    private void stopOverdueRuns() {
        List<Run> running = mRuns.runs().stream().filter(run -> !run.mStopping).toList();
        if (mWorker != null && mAuthority.excessLease().isOverdue() && !running.isEmpty()) {
            mLog.record("worker.overdue", mWorker.id(), "runs", running.size());
            running.forEach(run -> stopRun(run.mTask, run.mNumber));
        }
    }

    /** Gives up the runs on the VM, as every lease on it has expired. */
    private void handleLeaseExpiry() {
        mLog.record(
                "worker.lost",
                mWorker == null ? "unknown" : mWorker.id(),
                "silent_ms",
                mAuthority.silence().toMillis());
        if (mDeparture != null) {
            completeDeparture("its lease has ended");
            return;
        }
        mRuns.runs().clear();
        mReported = Reported.NOTHING;
        stateNoWorker(
                mWorker == null
                        ? "no worker has answered for the time of a lease"
                        : "silent until its lease ended");
    }

    private void stateNoWorker(String reason) {
        mNoWorkerReason = reason;
        sendToOwner(new NodeMessage.NoWorker(reason));
    }

    private void sendPing() {
        if (mOwner != null) {
            mOwner.send(new NodeMessage.Ping(mAuthority.nextRequest(), leasedWorker()));
        }
    }

    /**
     * Returns the worker whose lease a grant of the owner can extend. An owner that granted pings
     * for a worker which this process has never reached would keep its runs forever.
     */
    private Optional<WorkerId> leasedWorker() {
        boolean leased =
                mNoWorkerReason == null
                        && mDeparture == null
                        && !mAuthority.excessLease().isOverdue();
        return mWorker != null && leased && mAuthority.hasReading()
                ? Optional.of(mWorker.id())
                : Optional.empty();
    }

    /** Sends a message that follows up on the full report; drops it before that report is sent. */
    private void sendAfterReport(NodeMessage message) {
        if (mReported == Reported.ALL_RUNS) {
            sendToOwner(message);
        }
    }

    private void sendToOwner(NodeMessage message) {
        if (mOwner != null) {
            mOwner.send(message);
        }
    }

    /**
     * Circumstances under which the worker's lists were requested.
     *
     * @param term term of the owner
     * @param sentAtMillis monotonic time in milliseconds
     * @param newestGrant number of the newest request that the owner had granted
     */
    private record ListRequest(long term, long sentAtMillis, long newestGrant) {}

    /** Accepts the worker that has answered a call as the one of this VM. */
    private final class ProbeListener implements WorkerProbe.Listener {
        @Override
        public void answered(StatusReport report) {
            WorkerInfo info = report.worker();
            if (mWorker != null && mWorker.id().equals(info.id())) {
                updateWorker(report);
                return;
            }
            mLog.record("worker.joined", info.id(), "service", info.service());
            replaceWorker(info);
            mAttributesKnown = true;
            mReportSequence = report.sequence();
            restartPolling();
        }

        @Override
        public void fenced(WorkerId worker, long term) {
            handleFenced(worker, term);
        }
    }
}
