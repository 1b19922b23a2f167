package org.knapweedbank.node.agent;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
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

    private final AgentSettings mSettings;
    private final Clock mClock;
    private final Timers mTimers;
    private final WorkerClient mWorkerClient;
    private final DecisionLog mLog;
    private final RunLog mRunLog;
    private final KnownWorker mWorker;
    private final RunTable mRuns;
    private final LeaseAuthority mAuthority;
    private final OwnerChannel mOwner;
    private final FillerThrottle mThrottle;
    private final WorkerProbe mProbe;
    private final UnansweredStarts mUnansweredStarts;
    private final UnreadableEnds mUnreadableEnds;

    /** Worker that has left last; null if none has. */
    private WorkerId mLeftWorker;

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
        mWorker = new KnownWorker(settings, clock, mRunLog);
        mRuns = mWorker.runs();
        mAuthority = mWorker.authority();
        mOwner = new OwnerChannel(clock, log, mRunLog, mWorker);
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
        if (mWorker.is(info.id())) {
            updateWorker(report);
        } else if (mWorker.isPresent() && info.id().incarnation() < mWorker.id().incarnation()) {
            mLog.record("worker.outdated", info.id(), "present", mWorker.id());
        } else {
            mProbe.announce(report);
        }
    }

    /** Updates the attributes of the known worker. */
    private void updateWorker(StatusReport report) {
        WorkerInfo info = report.worker();
        if (!mWorker.isNewer(report)) {
            return;
        }
        boolean joins = !mWorker.attributesKnown();
        if (!joins && !info.service().equals(mWorker.info().service())) {
            mLog.record("worker.rejected", info.id(), "other_service", info.service());
            return;
        }
        boolean changed = !mWorker.info().equals(info);
        mWorker.update(report);
        if (joins) {
            mLog.record("worker.joined", info.id(), "service", info.service());
            restartPolling();
        } else if (changed) {
            mLog.record("worker.update", info.id(), "draining", info.draining());
            mOwner.reportAttributes();
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
        if (mWorker.isPresent() && isLeaving(mWorker.info(), id, incarnation)) {
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
        if (mWorker.isLeaving()) {
            mWorker.departure().add(confirm);
            return;
        }
        mLog.record("worker.leaving", mWorker.id(), "runs", mRuns.runs().size());
        WorkerDeparture departure = new WorkerDeparture(mClock, mTimers);
        mWorker.beginDeparture(departure);
        departure.add(confirm);
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
        WorkerDeparture departure = mWorker.departure();
        boolean idle = departure.precedes(request.sentAtMillis()) && mRuns.runs().isEmpty();
        if (idle && (mRuns.unacknowledged().isEmpty() || departure.isConfirmationDue())) {
            completeDeparture("nothing runs on it any more");
        }
    }

    /**
     * Completes the departure after the worker's address has shown that it has ended. An order
     * without an answer may still reach a next incarnation under its identifier.
     */
    private void completeDepartureIfEnded(String evidence) {
        if (mWorker.isLeaving() && mRuns.starting().isEmpty()) {
            completeDeparture(evidence);
        }
    }

    private void completeDeparture(String evidence) {
        mLog.record("worker.left", mWorker.id(), "evidence", evidence);
        mLeftWorker = mWorker.id();
        mWorker.remove();
        handleReplacement();
        mOwner.stateNoWorker("the worker has left: " + evidence);
    }

    /**
     * Returns the highest term of an owner whose orders this agent has accepted.
     *
     * @return the term, 0 if none
     */
    public long term() {
        return mOwner.term();
    }

    /**
     * Handles a new link to the owner.
     *
     * @param owner the link
     * @param term term of the owner, not below {@link #term()}
     */
    public void connected(Link owner, long term) {
        mOwner.connected(owner, term);
        restartPolling();
        mProbe.setTerm(term);
        mOwner.sendPing();
    }

    /** Handles the loss of the link to the owner. */
    public void disconnected() {
        mOwner.disconnected();
    }

    /**
     * Handles a message of the owner.
     *
     * @param message the message
     */
    public void received(NodeMessage message) {
        switch (message) {
            case NodeMessage.Pong pong -> {
                mAuthority.excessLease().update(mWorker.isIdle());
                mAuthority.grant(pong.number());
            }
            case NodeMessage.Start start -> handleStart(start);
            case NodeMessage.Stop stop -> stopRun(stop.task(), stop.run());
            case NodeMessage.Describe describe -> handleDescribe(describe);
            case NodeMessage.EndsStored stored -> handleEndsStored(stored);
            default -> mLog.record("agent.unexpected", message.getClass().getSimpleName());
        }
    }

    /** Ends what concerns the previous worker, after another one, or none, has been set. */
    private void handleReplacement() {
        mOwner.workerReplaced();
        mPollId++;
    }

    /**
     * Changes to an incarnation that answers under the identifier of the known one, which has ended
     * with all its runs. Nothing is started on it and none of its ends is acknowledged until its
     * status report names its attributes and its lists have been reported to the owner.
     */
    private void handleRestart(long incarnation) {
        WorkerId restarted = new WorkerId(mWorker.id().id(), incarnation);
        mLog.record("worker.restarted", restarted, "previous", mWorker.id().incarnation());
        mWorker.restart(restarted);
        handleReplacement();
        restartPolling();
    }

    /** Starts a new series of lease renewals with one that the worker answers at once. */
    private void restartPolling() {
        mPollId++;
        if (mWorker.isPresent() && mOwner.term() > 0) {
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
                mWorker.answers()
                                && !mWorker.isLeaving()
                                && !overdue
                                && leaseEndMillis > mAuthority.workerClockMillis()
                        ? OptionalLong.of(leaseEndMillis)
                        : OptionalLong.empty();
        if (newLeaseEndMillis.isPresent()) {
            mAuthority.excessLease().recordDeadlineSent();
        }
        ListRequest lists = new ListRequest(mOwner.term(), sentAtMillis, mAuthority.newestGrant());
        WorkerId worker = mWorker.id();
        // The worker may have started again since it last answered. A new incarnation would discard
        // ends that nobody has read, as it numbers them from 1 again, and would take a deadline on
        // the clock of its predecessor for one far ahead. An overdue worker keeps its ends, as
        // their tasks may run elsewhere.
        long acknowledgedEnd = mWorker.answers() && !overdue ? mRuns.highestAcknowledged() : 0;
        LeaseRenewalRequest request =
                new LeaseRenewalRequest(
                        worker, mOwner.term(), acknowledgedEnd, newLeaseEndMillis, maxWait);
        mWorkerClient.renewLease(
                request, reply -> handleRenewalReply(pollId, worker, lists, reply));
    }

    private void handleRenewalReply(
            int pollId, WorkerId worker, ListRequest lists, LeaseRenewalReply reply) {
        if (!mWorker.is(worker)) {
            return;
        }
        if (reply instanceof LeaseRenewalReply.Renewed renewed
                && renewed.incarnation() > worker.incarnation()) {
            handleRestart(renewed.incarnation());
            return;
        }
        mWorker.setAnswers(
                reply instanceof LeaseRenewalReply.Renewed renewed
                        && renewed.incarnation() == worker.incarnation());
        switch (reply) {
            case LeaseRenewalReply.Renewed renewed -> {
                if (mWorker.answers()
                        && mAuthority.updateWorkerClock(renewed.workerClockMillis())) {
                    applyRunListsSafely(renewed, lists);
                }
                pollAfter(
                        pollId,
                        renewed.ended().isEmpty() ? Duration.ZERO : MAX_ACKNOWLEDGEMENT_WAIT);
            }
            case LeaseRenewalReply.Fenced ignored -> {
                mOwner.handleFenced(worker, lists.term());
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
                        renewLease(pollId, mWorker.answers() ? maxRenewalWait() : Duration.ZERO);
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
        return mWorker.isLeaving() ? WorkerDeparture.MAX_RENEWAL_WAIT : mSettings.maxRenewalWait();
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
            mWorker.recordLists(request);
            mRuns.removeAbsent(renewed.running(), request.sentAtMillis())
                    .forEach(run -> mRunLog.removed(run, "not in the worker's lists"));
            expireUnansweredStarts(renewed.workerClockMillis(), request);
        }
        mOwner.reportLists(renewed, request, newEnds);
        mThrottle.adjust(mWorker.id(), mOwner.term());
        if (mWorker.isLeaving()) {
            stopRunsOfLeavingWorker();
            if (renewed.conclusive()) {
                completeDepartureIfIdle(request);
            }
        }
    }

    /**
     * Reports unanswered start orders as not started if conclusive lists, which do not hold them,
     * were made when the worker could no longer carry them out.
     */
    private void expireUnansweredStarts(long workerClockMillis, ListRequest request) {
        mUnansweredStarts.revoke(mWorker.id(), mOwner.term(), mRuns);
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
                mWorker.id(),
                order,
                deadlineMillis,
                mOwner.term(),
                reply -> handleStartReply(run, reply));
    }

    /** Returns the time on the worker's clock until which it may carry out an order sent now. */
    private long startDeadlineMillis(long workerClockMillis) {
        return workerClockMillis + mSettings.startTimeout().toMillis();
    }

    /** Returns why a start order must not be passed on, or null if it may be. */
    private String refusalReason(NodeMessage.Start message) {
        if (!mWorker.is(message.worker())) {
            return "the order is for another worker";
        }
        if (!mWorker.attributesKnown()) {
            return "the worker has restarted and not reported its attributes";
        }
        if (!mWorker.answers()) {
            return "the worker has not answered the last lease renewal";
        }
        if (mWorker.info().draining() || mWorker.isLeaving()) {
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
                mRunLog.started(run, mWorker.id(), started);
                mOwner.reportStarted(run);
                mThrottle.apply(mWorker.id(), mOwner.term());
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
        if (!mWorker.is(orderedFrom)) {
            return;
        }
        long clockMillis = reply.workerClockMillis().orElse(Long.MAX_VALUE);
        if (reply.incarnation().orElse(orderedFrom.incarnation()) > orderedFrom.incarnation()) {
            handleRestart(reply.incarnation().getAsLong());
        } else if (clockMillis < run.mClockReadingMillis) {
            mWorker.setAnswers(false);
            mAuthority.excessLease().recordDeadlineTaken();
            restartPolling();
        }
    }

    private void reportNotStarted(Run run, StartOutcome outcome, String reason) {
        mRuns.remove(run);
        mRunLog.notStarted(run, reason);
        mOwner.reportOutcome(run.mTask, run.mNumber, outcome);
    }

    private void reportOutcome(StartOrder order, StartOutcome outcome, String reason) {
        mRunLog.refused(order, outcome, reason);
        mOwner.reportOutcome(order.task(), order.run(), outcome);
    }

    private void stopRun(TaskName task, long number) {
        if (!mWorker.isPresent()) {
            return;
        }
        Run run = mRuns.find(task, number);
        if (run != null) {
            run.mStopping = true;
            run.mStopSentAtMillis = mClock.monotonicMillis();
        }
        mWorkerClient.stop(mWorker.id(), task, number, mOwner.term(), accepted -> {});
    }

    private void handleDescribe(NodeMessage.Describe message) {
        Run run = mRuns.find(message.task(), message.run());
        if (run != null) {
            run.mProfile = message.profile();
        }
    }

    private void handleEndsStored(NodeMessage.EndsStored stored) {
        if (!mWorker.is(stored.worker())) {
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
        mOwner.sendPing();
        if (!mOwner.noWorkerStated() && mAuthority.allLeasesExpired()) {
            handleLeaseExpiry();
        }
        mAuthority.excessLease().update(mWorker.isIdle());
        stopOverdueRuns();
        if (mTickCount % 2 == 0) {
            mOwner.reportProgress();
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

    /** Stops the runs that the worker may hold for longer than the owner counts with. */
    private void stopOverdueRuns() {
        List<Run> running = mRuns.runs().stream().filter(run -> !run.mStopping).toList();
        if (mWorker.isPresent() && mAuthority.excessLease().isOverdue() && !running.isEmpty()) {
            mLog.record("worker.overdue", mWorker.id(), "runs", running.size());
            running.forEach(run -> stopRun(run.mTask, run.mNumber));
        }
    }

    /** Gives up the runs on the VM, as every lease on it has expired. */
    private void handleLeaseExpiry() {
        mLog.record(
                "worker.lost",
                mWorker.isPresent() ? mWorker.id() : "unknown",
                "silent_ms",
                mAuthority.silence().toMillis());
        if (mWorker.isLeaving()) {
            completeDeparture("its lease has ended");
            return;
        }
        mRuns.runs().clear();
        mOwner.stateNoWorker(
                mWorker.isPresent()
                        ? "silent until its lease ended"
                        : "no worker has answered for the time of a lease");
    }

    /** Accepts the worker that has answered a call as the one of this VM. */
    private final class ProbeListener implements WorkerProbe.Listener {
        @Override
        public void answered(StatusReport report) {
            WorkerInfo info = report.worker();
            if (mWorker.is(info.id())) {
                updateWorker(report);
                return;
            }
            mLog.record("worker.joined", info.id(), "service", info.service());
            mWorker.replace(report);
            handleReplacement();
            restartPolling();
        }

        @Override
        public void fenced(WorkerId worker, long term) {
            mOwner.handleFenced(worker, term);
        }
    }
}
