package org.knapweedbank.node.agent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.node.agent.RunTable.Run;
import org.knapweedbank.time.Clock;

/**
 * Start orders that the worker has not answered. Such an order may be carried out seconds later,
 * even by the next incarnation under the worker's identifier. Its deadline means another time on
 * the clock of that incarnation, which doesn't know the fencing token either. A stop revokes it,
 * since a worker refuses a run that it was told to stop.
 */
final class UnansweredStarts {
    /**
     * Time after which a call without an answer is taken to be lost; it may be held up for seconds.
     */
    private static final Duration MAX_CALL_DELAY = Duration.ofSeconds(15);

    private final Clock mClock;
    private final WorkerClient mWorkerClient;
    private final DecisionLog mLog;
    private final List<Order> mOrders = new ArrayList<>();

    UnansweredStarts(Clock clock, WorkerClient workerClient, DecisionLog log) {
        mClock = clock;
        mWorkerClient = workerClient;
        mLog = log;
    }

    /** Adds the order of a run whose call has ended without an answer. */
    void add(Run run) {
        removeLost();
        mOrders.add(new Order(run, mClock.monotonicMillis()));
    }

    /**
     * Revokes the orders that were sent to earlier incarnations of a worker, unless it runs them or
     * has accepted a stop already.
     *
     * @param worker the present incarnation
     * @param term term of the owner
     * @param runs runs that the worker has listed
     */
    void revoke(WorkerId worker, long term, RunTable runs) {
        removeLost();
        mOrders.stream()
                .filter(order -> order.mayReach(worker) && !order.isStopSentTo(worker))
                .filter(order -> !runs.isStarted(order.mTask, order.mRun))
                .forEach(order -> sendStop(order, worker, term));
    }

    private void removeLost() {
        long oldestMillis = mClock.monotonicMillis() - MAX_CALL_DELAY.toMillis();
        mOrders.removeIf(order -> order.mUnansweredAtMillis < oldestMillis);
    }

    private void sendStop(Order order, WorkerId worker, long term) {
        mLog.record("task.revoke", order.mTask, "run", order.mRun, "worker", worker);
        order.mStopSentTo = worker;
        mWorkerClient.stop(
                worker,
                order.mTask,
                order.mRun,
                term,
                accepted -> {
                    if (accepted) {
                        order.mRevokedOn = worker;
                        order.mRevokedAtMillis = mClock.monotonicMillis();
                    } else if (order.isStopSentTo(worker)) {
                        order.mStopSentTo = null;
                    }
                });
    }

    /**
     * Returns whether a run that was ordered from an earlier incarnation can no longer start on a
     * worker, provided that lists of the worker don't hold it.
     *
     * @param requestedAtMillis monotonic time in milliseconds at which the lists were requested
     */
    boolean isSettled(Run run, WorkerId worker, long requestedAtMillis) {
        Optional<Order> order =
                mOrders.stream().filter(candidate -> candidate.isFor(run)).findFirst();
        return order.isEmpty() || order.get().isRevoked(worker, requestedAtMillis);
    }

    /** Order without an answer, and the stop that revokes it. */
    private static final class Order {
        private final TaskName mTask;
        private final long mRun;
        private final WorkerId mOrderedFrom;
        private final long mUnansweredAtMillis;

        /** Incarnation to which a stop was sent last; null if none or if it got no answer. */
        private WorkerId mStopSentTo;

        /** Incarnation that has accepted a stop last; null if none has. */
        private WorkerId mRevokedOn;

        private long mRevokedAtMillis;

        Order(Run run, long unansweredAtMillis) {
            mTask = run.mTask;
            mRun = run.mNumber;
            mOrderedFrom = run.mOrderedFrom;
            mUnansweredAtMillis = unansweredAtMillis;
        }

        boolean isFor(Run run) {
            return run.mTask.equals(mTask) && run.mNumber == mRun;
        }

        /**
         * Returns whether the worker takes the call without being the incarnation it was sent to.
         */
        boolean mayReach(WorkerId worker) {
            return worker.id().equals(mOrderedFrom.id()) && !worker.equals(mOrderedFrom);
        }

        boolean isStopSentTo(WorkerId worker) {
            return worker.equals(mStopSentTo);
        }

        boolean isRevoked(WorkerId worker, long beforeMillis) {
            return worker.equals(mRevokedOn) && mRevokedAtMillis < beforeMillis;
        }
    }
}
