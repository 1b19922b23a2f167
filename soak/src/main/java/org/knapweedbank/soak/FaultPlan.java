package org.knapweedbank.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Draws the faults of a run; several series overlap. */
final class FaultPlan {
    private static final long CYCLE_MILLIS = 8_000;
    private static final long MIN_DOWN_MILLIS = 5;
    private static final long MAX_DOWN_MILLIS = 500;
    private static final long MAX_FIRST_REPORT_MILLIS = 1_500;

    /**
     * First reports within this time come before the agent repeats a renewal that had no answer, so
     * that the answer to its probe is the first that names the new incarnation.
     */
    private static final long EARLY_REPORT_MILLIS = 100;

    private static final long MAX_RESTART_MILLIS = 1_500;
    private static final long MAX_LOSS_MILLIS = 12_000;
    private static final long MAX_FAILURES_MILLIS = 8_000;

    /**
     * Minimum time between the restart and the end of the last failures. A VM suspended for 2, 4
     * and 8 s in succession from the restart on has then been suspended for the longest time.
     */
    private static final long MIN_LAST_FAILURES_MILLIS = 6_000;

    private static final long MAX_LAST_FAILURES_MILLIS = 8_000;
    private static final long MAX_LATE_ORDER_MILLIS = 6_000;

    /** Time after the start of a hand-over within which workers restart. */
    private static final long RESTART_WINDOW_MILLIS = 5_000;

    private final UniformRandomProvider mRandom;
    private final int mWorkers;
    private final int mEntries;
    private final long mMillis;
    private final List<PlannedFault> mFaults = new ArrayList<>();

    /** Series of faults. */
    enum Kind {
        /** No fault. */
        CALM,
        /** The owner hands over, and workers restart under delayed answers soon after. */
        HAND_OVER,
        /** Workers restart while orders to them are seconds late and reach the next incarnation. */
        LATE_ORDERS,
        /** Agents and owners restart while calls to workers, which stay up, are seconds late. */
        AGENT_RESTARTS,
        /** Workers fail what they start, alone or all at once, and restart now and then. */
        WORKER_FAILURES,
        /** All kinds of faults. */
        MIXED;

        /** Returns whether some jobs fail wherever they run. */
        boolean hasFaultyJobs() {
            return this == WORKER_FAILURES || this == MIXED;
        }
    }

    private FaultPlan(UniformRandomProvider random, int workers, int entries, long millis) {
        mRandom = random;
        mWorkers = workers;
        mEntries = entries;
        mMillis = millis;
    }

    static List<PlannedFault> draw(
            Kind kind, UniformRandomProvider random, int workers, int entries, long millis) {
        FaultPlan plan = new FaultPlan(random, workers, entries, millis);
        switch (kind) {
            case CALM -> {}
            case HAND_OVER -> plan.addHandOvers();
            case LATE_ORDERS -> plan.addLateOrders();
            case AGENT_RESTARTS -> plan.addAgentRestarts();
            case WORKER_FAILURES -> plan.addWorkerFailures();
            case MIXED -> plan.addMixed();
        }
        plan.mFaults.sort(Comparator.comparingLong(PlannedFault::atMillis));
        return plan.mFaults;
    }

    private void addHandOvers() {
        for (int i = 0; i < mWorkers; i++) {
            ProxyDelays delays = new ProxyDelays(0.5, 0, between(5, 200), false);
            add(0, new Fault.WorkerDelay(i, delays, mMillis));
        }
        for (long start = 1_000; start + RESTART_WINDOW_MILLIS < mMillis; start += CYCLE_MILLIS) {
            add(start, new Fault.OwnerEnd(ProcessSignal.TERM, between(200, MAX_RESTART_MILLIS)));
            for (int i = 0; i < mWorkers; i++) {
                addRestart(start, RESTART_WINDOW_MILLIS / 2, i);
                addRestart(start + RESTART_WINDOW_MILLIS / 2, RESTART_WINDOW_MILLIS / 2, i);
            }
        }
    }

    private void addLateOrders() {
        for (int i = 0; i < mWorkers; i++) {
            ProxyDelays delays = new ProxyDelays(0.05, MAX_LATE_ORDER_MILLIS, 0, true);
            add(0, new Fault.WorkerDelay(i, delays, mMillis));
        }
        addSeries(1_000, at -> addRestart(at, 1, mRandom.nextInt(mWorkers)));
    }

    private void addAgentRestarts() {
        for (int i = 0; i < mWorkers; i++) {
            ProxyDelays delays =
                    new ProxyDelays(0.2, MAX_LATE_ORDER_MILLIS, between(5, 200), false);
            add(0, new Fault.WorkerDelay(i, delays, mMillis));
        }
        addSeries(2_500, at -> add(at, agentKill()));
        addSeries(8_000, at -> add(at, ownerEnd()));
        addSeries(8_000, at -> add(at, pause()));
    }

    /** The last fault is a failure of all workers, which have lost their runs by a restart. */
    private void addWorkerFailures() {
        addSeries(4_000, at -> addFailures(at, mRandom.nextInt(mWorkers)));
        addSeries(12_000, this::addFailuresOfAll);
        long restart =
                Math.max(0, mMillis - between(MIN_LAST_FAILURES_MILLIS, MAX_LAST_FAILURES_MILLIS));
        for (int i = 0; i < mWorkers; i++) {
            long start = Math.max(0, restart - MAX_FAILURES_MILLIS / 2);
            add(start, new Fault.WorkerFailures(i, mMillis - start));
            addRestart(restart, 1, i);
        }
    }

    private void addMixed() {
        addSeries(2_500, at -> addRestart(at, 1, mRandom.nextInt(mWorkers)));
        addSeries(9_000, at -> add(at, ownerEnd()));
        addSeries(7_000, at -> add(at, agentKill()));
        addSeries(8_000, at -> add(at, pause()));
        addSeries(2_000, at -> add(at, workerDelay()));
        addSeries(3_000, at -> add(at, workerCut()));
        addSeries(5_000, at -> add(at, storeCut()));
        addSeries(12_000, at -> add(at, storeOutage()));
        addSeries(5_000, at -> add(at, departure()));
        addSeries(12_000, at -> add(at, new Fault.SilentConnections()));
        addSeries(15_000, at -> add(at, dataCentreLoss()));
        addSeries(8_000, at -> addFailures(at, mRandom.nextInt(mWorkers)));
        addSeries(15_000, this::addFailuresOfAll);
    }

    /** Adds faults at exponentially distributed intervals. */
    private void addSeries(long meanMillis, java.util.function.LongConsumer fault) {
        double at = 0;
        while (true) {
            at -= meanMillis * Math.log(1 - mRandom.nextDouble());
            if (at >= mMillis) {
                return;
            }
            fault.accept((long) at);
        }
    }

    private void addRestart(long start, long window, int worker) {
        add(
                start + between(0, window),
                new Fault.WorkerRestart(
                        worker,
                        between(MIN_DOWN_MILLIS, MAX_DOWN_MILLIS),
                        between(
                                0,
                                mRandom.nextBoolean()
                                        ? EARLY_REPORT_MILLIS
                                        : MAX_FIRST_REPORT_MILLIS)));
    }

    private void addFailuresOfAll(long start) {
        long millis = failureMillis(start);
        boolean restart = mRandom.nextBoolean();
        for (int i = 0; i < mWorkers; i++) {
            add(start, new Fault.WorkerFailures(i, millis));
            if (restart) {
                addRestart(start + millis / 2, 1, i);
            }
        }
    }

    private void addFailures(long start, int worker) {
        long millis = failureMillis(start);
        add(start, new Fault.WorkerFailures(worker, millis));
        if (mRandom.nextInt(3) == 0) {
            addRestart(start + millis / 2, 1, worker);
        }
    }

    /** Returns a duration that ends with the plan at the latest. */
    private long failureMillis(long start) {
        return Math.min(mMillis - start, between(500, MAX_FAILURES_MILLIS));
    }

    private Fault ownerEnd() {
        ProcessSignal signal = mRandom.nextBoolean() ? ProcessSignal.TERM : ProcessSignal.KILL;
        return new Fault.OwnerEnd(signal, between(200, MAX_RESTART_MILLIS));
    }

    private Fault agentKill() {
        return new Fault.AgentKill(mRandom.nextInt(mWorkers), between(100, MAX_RESTART_MILLIS));
    }

    private Fault departure() {
        return new Fault.WorkerDeparture(
                mRandom.nextInt(mWorkers),
                mRandom.nextBoolean(),
                between(MIN_DOWN_MILLIS, MAX_RESTART_MILLIS));
    }

    private Fault dataCentreLoss() {
        return new Fault.DataCentreLoss(
                mRandom.nextInt(mWorkers), between(MAX_RESTART_MILLIS, MAX_LOSS_MILLIS));
    }

    private Fault pause() {
        return new Fault.Pause(
                mRandom.nextInt(3) == 0, mRandom.nextInt(mWorkers), between(200, 8_000));
    }

    private Fault workerDelay() {
        ProxyDelays delays =
                mRandom.nextInt(3) == 0
                        ? new ProxyDelays(0.1, between(500, 4_000), 0, false)
                        : new ProxyDelays(0.5, between(1, 100), between(5, 200), false);
        return new Fault.WorkerDelay(mRandom.nextInt(mWorkers), delays, between(1_000, 5_000));
    }

    private Fault workerCut() {
        return new Fault.WorkerCut(
                mRandom.nextInt(mWorkers), mRandom.nextBoolean(), mRandom.nextDouble());
    }

    private Fault storeCut() {
        return new Fault.StoreCut(mRandom.nextInt(mWorkers + mEntries), mRandom.nextBoolean());
    }

    private Fault storeOutage() {
        StoreStandIn.Mode mode =
                mRandom.nextBoolean() ? StoreStandIn.Mode.REFUSING : StoreStandIn.Mode.MUTE;
        return new Fault.StoreOutage(mode, between(200, 4_000));
    }

    private void add(long atMillis, Fault fault) {
        mFaults.add(new PlannedFault(atMillis, fault));
    }

    private long between(long first, long last) {
        return mRandom.nextLong(last - first + 1) + first;
    }
}
