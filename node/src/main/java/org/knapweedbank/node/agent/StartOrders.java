package org.knapweedbank.node.agent;

import java.util.List;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.StartOutcome;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.node.agent.RunTable.Run;
import org.knapweedbank.node.link.NodeMessage;
import org.knapweedbank.time.Clock;

/** Passes the owner's start orders on to the worker, and reports their outcomes. */
final class StartOrders {
    private final AgentSettings mSettings;
    private final Clock mClock;
    private final WorkerClient mWorkerClient;
    private final RunLog mRunLog;
    private final KnownWorker mWorker;
    private final RunTable mRuns;
    private final LeaseAuthority mAuthority;
    private final OwnerChannel mOwner;
    private final WorkerLifecycle mLifecycle;
    private final FillerThrottle mThrottle;
    private final UnansweredStarts mUnansweredStarts;

    StartOrders(
            AgentSettings settings,
            Clock clock,
            WorkerClient workerClient,
            DecisionLog log,
            KnownWorker worker,
            OwnerChannel owner,
            WorkerLifecycle lifecycle,
            FillerThrottle throttle) {
        mSettings = settings;
        mClock = clock;
        mWorkerClient = workerClient;
        mRunLog = new RunLog(log);
        mWorker = worker;
        mRuns = worker.runs();
        mAuthority = worker.authority();
        mOwner = owner;
        mLifecycle = lifecycle;
        mThrottle = throttle;
        mUnansweredStarts = new UnansweredStarts(clock, workerClient, log);
    }

    /** Passes a start order on to the worker, or reports why it is not permitted. */
    void handle(NodeMessage.Start message) {
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
        long nowMillis = mClock.monotonicMillis();
        return mRuns.runs().stream()
                        .filter(run -> !run.isMissing(nowMillis))
                        .anyMatch(run -> run.mTask.equals(message.order().task()))
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
            mLifecycle.handleRestart(reply.incarnation().getAsLong());
        } else if (clockMillis < run.mClockReadingMillis) {
            mLifecycle.handleDeadlineTaken();
        }
    }

    /**
     * Reports unanswered start orders as not started if conclusive lists, which do not hold them,
     * were made when the worker could no longer carry them out.
     */
    void expireUnanswered(long workerClockMillis, ListRequest request) {
        expired(workerClockMillis, request)
                .forEach(
                        run ->
                                reportNotStarted(
                                        run, StartOutcome.NOT_STARTED, "no answer in time"));
    }

    /**
     * Records that the runs of such orders are missing, if the list of runs leaves none out but
     * that of ends does: they may have started and ended.
     */
    void recordMissing(long workerClockMillis, ListRequest request) {
        expired(workerClockMillis, request)
                .forEach(run -> run.markMissing(mClock.monotonicMillis()));
    }

    private List<Run> expired(long workerClockMillis, ListRequest request) {
        mUnansweredStarts.revoke(mWorker.id(), mOwner.term(), mRuns);
        return mRuns.runs().stream()
                .filter(run -> !run.mStarted && run.mUnanswered)
                .filter(run -> canNoLongerStart(run, workerClockMillis, request))
                .toList();
    }

    private boolean canNoLongerStart(Run run, long workerClockMillis, ListRequest request) {
        return run.mOrderedFrom.equals(mWorker.id())
                ? run.mDeadlineMillis < workerClockMillis
                : mUnansweredStarts.isSettled(run, mWorker.id(), request.sentAtMillis());
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
}
