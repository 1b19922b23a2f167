package org.knapweedbank.bench.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.routing.UpstreamId;
import org.knapweedbank.routing.UpstreamLoad;

/** Upstream with its agent: slots and a short queue that is aware of deadlines. */
final class SimulatedUpstream {
    static final int SLOTS = 8;
    private static final int QUEUE = 16;
    private static final int SLOW_FACTOR = 8;
    private static final double AVERAGE_WEIGHT = 0.05;
    private static final double NANOS_PER_MICRO = 1_000;

    private final VirtualTime mTime;
    private final Scenario mScenario;
    private final boolean mAffected;
    private final int mDataCentre;
    private final UpstreamId mId;
    private final Deque<Work> mQueue = new ArrayDeque<>();
    private int mRunning;
    private double mServiceNanos;

    /** What happens to an attempt; called at the time of the event at the upstream. */
    interface Receiver {
        void answered(UpstreamLoad load);

        void notRun(UpstreamLoad load);

        void broken();
    }

    private record Work(long serviceNanos, long deadline, Receiver receiver) {}

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

    void receive(long serviceNanos, long deadline, Receiver receiver) {
        if (disturbed(Scenario.Kind.FAILING)) {
            receiver.broken();
        } else if (mRunning < SLOTS) {
            start(new Work(serviceNanos, deadline, receiver));
        } else if (mQueue.size() < QUEUE) {
            mQueue.add(new Work(serviceNanos, deadline, receiver));
        } else {
            receiver.notRun(load());
        }
    }

    private void start(Work work) {
        mRunning++;
        long nanos = work.serviceNanos() * (disturbed(Scenario.Kind.SLOW) ? SLOW_FACTOR : 1);
        mTime.after(nanos, () -> finish(work, nanos));
    }

    private void finish(Work work, long nanos) {
        mRunning--;
        mServiceNanos =
                mServiceNanos == 0
                        ? nanos
                        : mServiceNanos + AVERAGE_WEIGHT * (nanos - mServiceNanos);
        while (mRunning < SLOTS && !mQueue.isEmpty()) {
            Work next = mQueue.poll();
            if (next.deadline() <= mTime.monotonicNanos()) {
                next.receiver().notRun(load());
            } else {
                start(next);
            }
        }
        work.receiver().answered(load());
    }

    private boolean disturbed(Scenario.Kind kind) {
        return mAffected && mScenario.kind() == kind && mScenario.disturbed(mTime.monotonicNanos());
    }

    private UpstreamLoad load() {
        long micros = (long) (mServiceNanos / NANOS_PER_MICRO);
        return new UpstreamLoad(mRunning, mQueue.size(), SLOTS, micros, false);
    }
}
