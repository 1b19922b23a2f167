package org.knapweedbank.bench.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.routing.UpstreamId;
import org.knapweedbank.routing.UpstreamLoad;

/** Upstream with its agent: slots and a short queue that is aware of deadlines. */
final class SimulatedUpstream {
    static final int SLOTS = 8;
    private static final int MAX_QUEUE_LENGTH = 16;
    private static final int SLOW_FACTOR = 8;
    private static final double SERVICE_TIME_EWMA_WEIGHT = 0.05;
    private static final double NANOS_PER_MICRO = 1_000;

    private final VirtualTime mTime;
    private final Scenario mScenario;
    private final boolean mAffected;
    private final int mDataCentre;
    private final UpstreamId mId;
    private final Deque<Attempt> mQueue = new ArrayDeque<>();
    private int mRunningCount;
    private double mMeanServiceNanos;

    /** What happens to an attempt; called at the time of the event at the upstream. */
    interface AttemptListener {
        void onAnswer(UpstreamLoad load);

        void onNotRun(UpstreamLoad load);

        void onConnectionBroken();
    }

    private record Attempt(long serviceNanos, long deadlineNanos, AttemptListener listener) {}

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
