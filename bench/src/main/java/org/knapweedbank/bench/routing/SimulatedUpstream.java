package org.knapweedbank.bench.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.routing.UpstreamId;
import org.knapweedbank.routing.UpstreamLoad;

/**
 * Simulated upstream with its agent: a number of slots, and a bounded queue that refuses requests
 * whose deadline has passed.
 */
final class SimulatedUpstream {
    /** Number of requests that are executed at a time. */
    static final int SLOTS = 8;

    private static final int MAX_QUEUE_LENGTH = 16;

    /** Factor by which the service time grows in {@link Scenario.Kind#SLOW}. */
    private static final int SLOW_FACTOR = 8;

    /** Weight of a new service time in the exponentially weighted moving average. */
    private static final double SERVICE_TIME_EWMA_WEIGHT = 0.05;

    private static final double NANOS_PER_MICRO = 1_000;

    private final VirtualTime mTime;
    private final Scenario mScenario;

    /** Whether the disturbance of the scenario affects this upstream. */
    private final boolean mAffected;

    private final int mDataCentre;
    private final UpstreamId mId;
    private final Deque<Attempt> mQueue = new ArrayDeque<>();
    private int mRunningCount;

    /** Moving average of the service times; 0 before the first request ends. */
    private double mMeanServiceNanos;

    /** Receives the result of an attempt, at the virtual time of the event at the upstream. */
    interface AttemptListener {
        /** The upstream has executed the request and answered. */
        void onAnswer(UpstreamLoad load);

        /** The upstream has refused the request without executing it. */
        void onNotRun(UpstreamLoad load);

        /** The upstream has closed the connection without an answer. */
        void onConnectionBroken();
    }

    /**
     * An attempt in a slot or in the queue.
     *
     * @param serviceNanos time that it needs in a slot of a healthy upstream
     * @param deadlineNanos virtual time after which it is not started any more
     * @param listener receives the result
     */
    private record Attempt(long serviceNanos, long deadlineNanos, AttemptListener listener) {}

    /**
     * Creates an idle upstream.
     *
     * @param time virtual time of the run
     * @param scenario scenario of the run
     * @param index number from which the identifier is formed
     * @param dataCentre index of its data centre
     * @param affected true if the disturbance affects it
     */
    SimulatedUpstream(
            VirtualTime time, Scenario scenario, int index, int dataCentre, boolean affected) {
        mTime = time;
        mScenario = scenario;
        mDataCentre = dataCentre;
        mAffected = affected;
        mId = new UpstreamId(new DaemonId("a" + index), "u" + index + ":80");
    }

    UpstreamId id() {
        return mId;
    }

    int dataCentre() {
        return mDataCentre;
    }

    /**
     * Starts or queues an attempt, or refuses it if the queue is full.
     *
     * @param serviceNanos time that it needs in a slot of a healthy upstream
     * @param deadlineNanos virtual time after which it is not started any more
     * @param listener receives the result
     */
    void receive(long serviceNanos, long deadlineNanos, AttemptListener listener) {
        if (isDisturbedBy(Scenario.Kind.FAILING)) {
            listener.onConnectionBroken();
        } else if (mRunningCount < SLOTS) {
            start(new Attempt(serviceNanos, deadlineNanos, listener));
        } else if (mQueue.size() < MAX_QUEUE_LENGTH) {
            mQueue.add(new Attempt(serviceNanos, deadlineNanos, listener));
        } else {
            listener.onNotRun(load());
        }
    }

    private void start(Attempt attempt) {
        mRunningCount++;
        long nanos = attempt.serviceNanos() * (isDisturbedBy(Scenario.Kind.SLOW) ? SLOW_FACTOR : 1);
        mTime.scheduleAfter(nanos, () -> finish(attempt, nanos));
    }

    /** Ends an attempt, starts queued ones in the free slots and reports the answer. */
    private void finish(Attempt attempt, long nanos) {
        mRunningCount--;
        mMeanServiceNanos =
                mMeanServiceNanos == 0
                        ? nanos
                        : mMeanServiceNanos
                                + SERVICE_TIME_EWMA_WEIGHT * (nanos - mMeanServiceNanos);
        while (mRunningCount < SLOTS && !mQueue.isEmpty()) {
            Attempt next = mQueue.poll();
            if (next.deadlineNanos() <= mTime.monotonicNanos()) {
                next.listener().onNotRun(load());
            } else {
                start(next);
            }
        }
        attempt.listener().onAnswer(load());
    }

    /** Returns whether a disturbance of the given kind is active at this upstream now. */
    private boolean isDisturbedBy(Scenario.Kind kind) {
        return mAffected
                && mScenario.kind() == kind
                && mScenario.isDisturbedAt(mTime.monotonicNanos());
    }

    private UpstreamLoad load() {
        long micros = (long) (mMeanServiceNanos / NANOS_PER_MICRO);
        return new UpstreamLoad(mRunningCount, mQueue.size(), SLOTS, micros, false);
    }
}
