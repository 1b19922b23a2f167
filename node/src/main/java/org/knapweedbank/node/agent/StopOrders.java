package org.knapweedbank.node.agent;

import java.util.List;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.node.agent.RunTable.Run;
import org.knapweedbank.time.Clock;

/** Stops runs on the worker, and repeats the orders until the worker has listed the ends. */
final class StopOrders {
    private final Clock mClock;
    private final WorkerClient mWorkerClient;
    private final DecisionLog mLog;
    private final KnownWorker mWorker;
    private final RunTable mRuns;
    private final OwnerChannel mOwner;

    StopOrders(
            Clock clock,
            WorkerClient workerClient,
            DecisionLog log,
            KnownWorker worker,
            OwnerChannel owner) {
        mClock = clock;
        mWorkerClient = workerClient;
        mLog = log;
        mWorker = worker;
        mRuns = worker.runs();
        mOwner = owner;
    }

    void stop(TaskName task, long number) {
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

    /** Stops all runs that have not been told to stop yet. */
    void stopAll() {
        stopEach(notStopping());
    }

    /** Stops the runs that the worker may hold for longer than the owner counts with. */
    void stopOverdue() {
        List<Run> running = notStopping();
        if (mWorker.isPresent()
                && mWorker.authority().excessLease().isOverdue()
                && !running.isEmpty()) {
            mLog.record("worker.overdue", mWorker.id(), "runs", running.size());
            stopEach(running);
        }
    }

    /** Repeats the orders that were sent a tick ago and whose runs have not ended. */
    void repeatUnfinished() {
        long nowMillis = mClock.monotonicMillis();
        stopEach(
                mRuns.runs().stream()
                        .filter(
                                run ->
                                        run.mStopping
                                                && nowMillis - run.mStopSentAtMillis
                                                        >= AgentSession.TICK_INTERVAL.toMillis())
                        .toList());
    }

    private List<Run> notStopping() {
        return mRuns.runs().stream().filter(run -> !run.mStopping).toList();
    }

    private void stopEach(List<Run> runs) {
        runs.forEach(run -> stop(run.mTask, run.mNumber));
    }
}
