package org.knapweedbank.node.agent;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.EndedRun;
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
    static final Duration TICK_INTERVAL = Duration.ofMillis(500);

    private final Clock mClock;
    private final DecisionLog mLog;
    private final RunLog mRunLog;
    private final KnownWorker mWorker;
    private final RunTable mRuns;
    private final OwnerChannel mOwner;
    private final StopOrders mStops;
    private final LeaseRenewals mRenewals;
    private final WorkerLifecycle mLifecycle;
    private final FillerThrottle mThrottle;
    private final StartOrders mStarts;
    private final UnreadableEnds mUnreadableEnds;
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
        mClock = clock;
        mLog = log;
        mRunLog = new RunLog(log);
        mWorker = new KnownWorker(settings, clock, mRunLog);
        mRuns = mWorker.runs();
        mOwner = new OwnerChannel(clock, log, mRunLog, mWorker);
        mStops = new StopOrders(clock, workerClient, log, mWorker, mOwner);
        mRenewals =
                new LeaseRenewals(
                        settings,
                        clock,
                        timers,
                        workerClient,
                        log,
                        mWorker,
                        mOwner,
                        new RenewalListener());
        mLifecycle =
                new WorkerLifecycle(
                        clock, timers, workerClient, log, mWorker, mOwner, mStops, mRenewals);
        mThrottle = new FillerThrottle(clock, workerClient, log, mRuns);
        mStarts =
                new StartOrders(
                        settings, clock, workerClient, log, mWorker, mOwner, mLifecycle, mThrottle);
        mUnreadableEnds = new UnreadableEnds(clock);
        timers.every(TICK_INTERVAL, this::tick);
    }

    /**
     * Handles a status report. A worker that it announces replaces the known one only after it has
     * answered a call, since the report may be delayed or come from another process.
     *
     * @param report the report
     */
    public void workerReported(StatusReport report) {
        mLifecycle.handleReport(report);
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
        mLifecycle.handleNotice(id, incarnation, confirm);
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
        mLifecycle.handleOwner();
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
                mWorker.authority().excessLease().update(mWorker.isIdle());
                mWorker.authority().grant(pong.number());
            }
            case NodeMessage.Start start -> mStarts.handle(start);
            case NodeMessage.Stop stop -> mStops.stop(stop.task(), stop.run());
            case NodeMessage.Describe describe -> handleDescribe(describe);
            case NodeMessage.EndsStored stored -> handleEndsStored(stored);
            default -> mLog.record("agent.unexpected", message.getClass().getSimpleName());
        }
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
        if (mRuns.unacknowledged().isEmpty()) {
            mRenewals.resume();
        }
    }

    /** Pings the owner, reports progress, repeats unfinished stops and checks the lease. */
    private void tick() {
        mTickCount++;
        mOwner.sendPing();
        mLifecycle.checkLeases();
        mWorker.authority().excessLease().update(mWorker.isIdle());
        mStops.stopOverdue();
        if (mTickCount % 2 == 0) {
            mOwner.reportProgress();
        }
        mStops.repeatUnfinished();
    }

    /** Applies the worker's lists of runs, then reports them and adjusts the pace of fillers. */
    private void applyRunLists(LeaseRenewalReply.Renewed renewed, ListRequest request) {
        mRuns.updateRunning(renewed.running(), mClock.monotonicMillis());
        List<EndedRun> newEnds =
                mRuns.addEnds(
                        mUnreadableEnds.withoutHeldBack(
                                mWorker.id(), renewed, mRuns.highestReported()));
        if (renewed.conclusive()) {
            mWorker.recordLists(request);
            mRuns.removeAbsent(renewed.running(), request.sentAtMillis())
                    .forEach(run -> mRunLog.removed(run, "not in the worker's lists"));
            mStarts.expireUnanswered(renewed.workerClockMillis(), request);
        } else if (renewed.allRuns()) {
            mRuns.recordMissing(
                    renewed.running(), request.sentAtMillis(), mClock.monotonicMillis());
            mStarts.recordMissing(renewed.workerClockMillis(), request);
        }
        mOwner.reportLists(renewed, request, newEnds);
        mThrottle.adjust(mWorker.id(), mOwner.term());
        mLifecycle.handleLists(renewed, request);
    }

    /** Receives what lease renewals show. */
    private final class RenewalListener implements LeaseRenewals.Listener {
        @Override
        public void listed(LeaseRenewalReply.Renewed renewed, ListRequest request) {
            applyRunLists(renewed, request);
        }

        @Override
        public void restarted(long incarnation) {
            mLifecycle.handleRestart(incarnation);
        }

        @Override
        public void ended(String evidence) {
            mLifecycle.handleEnded(evidence);
        }
    }
}
