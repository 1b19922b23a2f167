package org.knapweedbank.node.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.EndedRun;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.node.agent.LeaseRenewalReply;
import org.knapweedbank.node.agent.LeaseRenewalRequest;
import org.knapweedbank.node.agent.StartReply;
import org.knapweedbank.node.agent.WorkerClient;
import org.knapweedbank.time.Clock;

/**
 * Worker in virtual time. Fillers share the processor time that serving tasks leave idle, and raise
 * the utilization of the serving tasks. Latency grows with utilization as in a queue.
 */
final class SimulatedWorker implements WorkerClient {
    static final long OBJECTIVE_MILLIS = 125;

    private static final long MEASUREMENT_PERIOD_MILLIS = 500;
    private static final double MEASUREMENT_NOISE = 0.05;
    private static final double IDLE_LATENCY_MILLIS = OBJECTIVE_MILLIS * 0.2;
    private static final double MEAN_LOAD = 0.5;
    private static final double LOAD_AMPLITUDE = 0.5;
    private static final double LOAD_PERIOD_MILLIS = 20_000;
    private static final double MAX_UTILIZATION = 0.98;

    private final Clock mClock;
    private final long mCapacityMilliCpu;
    private final Function<TaskName, TaskProfile> mProfiles;
    private final Random mRandom;
    private final Map<TaskName, Run> mRuns = new HashMap<>();
    private final List<EndedRun> mEnds = new ArrayList<>();
    private LeaseRenewalRequest mRenewal;
    private Consumer<LeaseRenewalReply> mRenewalCallback;
    private long mRenewalSinceMillis;
    private long mLastEndNumber;
    private long mMeasuredAtMillis;

    /** Core-milliseconds that fillers of each job have used here. */
    final Map<String, Double> mUsedCoreMillis = new HashMap<>();

    SimulatedWorker(
            Clock clock, long milliCpu, Function<TaskName, TaskProfile> profiles, long seed) {
        mClock = clock;
        mCapacityMilliCpu = milliCpu;
        mProfiles = profiles;
        mRandom = new Random(seed);
    }

    private static final class Run {
        final long mNumber;
        final TaskProfile mProfile;
        int mPace = 100;
        double mDoneMillis;
        double mUsedSinceMeasurement;
        long mMeasuredValue;

        Run(long number, TaskProfile profile, double doneMillis) {
            mNumber = number;
            mProfile = profile;
            mDoneMillis = doneMillis;
        }

        double requestedMilliCpu() {
            return mProfile.milliCpu() * mPace / 100.0;
        }

        int percent() {
            return mProfile.serving()
                    ? 100
                    : (int) Math.min(99, 100 * mDoneMillis / mProfile.runMillis());
        }
    }

    /** Simulates the runs on this worker for a period. */
    void advance(long millis) {
        double idleMilliCpu = mCapacityMilliCpu;
        double requestedMilliCpu = 0;
        double pressure = 0;
        for (Run run : mRuns.values()) {
            if (run.mProfile.serving()) {
                idleMilliCpu -= run.mProfile.milliCpu() * currentLoad(run.mProfile);
            } else {
                requestedMilliCpu += run.requestedMilliCpu();
            }
        }
        double grantedShare =
                requestedMilliCpu > idleMilliCpu ? idleMilliCpu / requestedMilliCpu : 1;
        for (Run run : mRuns.values()) {
            if (!run.mProfile.serving()) {
                pressure +=
                        run.mProfile.pressure()
                                * run.requestedMilliCpu()
                                * grantedShare
                                / mCapacityMilliCpu;
            }
        }
        for (Map.Entry<TaskName, Run> entry : List.copyOf(mRuns.entrySet())) {
            runFiller(entry.getKey(), entry.getValue(), grantedShare, millis);
        }
        measure(pressure);
        answerRenewalIfDue();
    }

    private double currentLoad(TaskProfile profile) {
        double angle = 2 * Math.PI * mClock.monotonicMillis() / LOAD_PERIOD_MILLIS;
        return MEAN_LOAD * (1 + LOAD_AMPLITUDE * Math.sin(angle + profile.phase()));
    }

    private void runFiller(TaskName task, Run run, double grantedShare, long millis) {
        if (run.mProfile.serving()) {
            return;
        }
        double used = run.requestedMilliCpu() * grantedShare * millis;
        run.mUsedSinceMeasurement += used;
        run.mDoneMillis += used / run.mProfile.milliCpu();
        mUsedCoreMillis.merge(task.job().value(), used / 1_000, Double::sum);
        if (run.mDoneMillis >= run.mProfile.runMillis()) {
            end(task, run, EndKind.DONE);
        }
    }

    private void measure(double pressure) {
        long nowMillis = mClock.monotonicMillis();
        if (nowMillis - mMeasuredAtMillis < MEASUREMENT_PERIOD_MILLIS) {
            return;
        }
        double elapsedMillis = nowMillis - mMeasuredAtMillis;
        mMeasuredAtMillis = nowMillis;
        for (Run run : mRuns.values()) {
            double noise = 1 + MEASUREMENT_NOISE * mRandom.nextGaussian();
            if (run.mProfile.serving()) {
                double utilization =
                        Math.min(MAX_UTILIZATION, currentLoad(run.mProfile) + pressure);
                run.mMeasuredValue = Math.round(IDLE_LATENCY_MILLIS / (1 - utilization) * noise);
            } else {
                run.mMeasuredValue = Math.round(run.mUsedSinceMeasurement / elapsedMillis * noise);
                run.mUsedSinceMeasurement = 0;
            }
        }
    }

    private void end(TaskName task, Run run, EndKind kind) {
        mRuns.remove(task);
        String checkpoint = kind == EndKind.STOPPED ? Double.toString(run.mDoneMillis) : "";
        mEnds.add(new EndedRun(++mLastEndNumber, task, run.mNumber, kind, checkpoint));
    }

    private void answerRenewalIfDue() {
        if (mRenewal == null) {
            return;
        }
        boolean timedOut =
                mClock.monotonicMillis() - mRenewalSinceMillis >= mRenewal.maxWait().toMillis();
        if (timedOut || !mEnds.isEmpty()) {
            Consumer<LeaseRenewalReply> callback = mRenewalCallback;
            mRenewal = null;
            callback.accept(
                    new LeaseRenewalReply.Renewed(
                            mClock.monotonicMillis(),
                            1,
                            running(),
                            List.copyOf(mEnds),
                            true,
                            true));
        }
    }

    private List<RunStatus> running() {
        return mRuns.entrySet().stream()
                .map(
                        entry -> {
                            Run run = entry.getValue();
                            return new RunStatus(
                                    entry.getKey(),
                                    run.mNumber,
                                    "",
                                    run.percent(),
                                    run.mMeasuredValue);
                        })
                .toList();
    }

    @Override
    public void start(
            WorkerId worker,
            StartOrder order,
            long deadlineMillis,
            long term,
            Consumer<StartReply> done) {
        double checkpoint =
                order.checkpoint().isEmpty() ? 0 : Double.parseDouble(order.checkpoint());
        mRuns.put(order.task(), new Run(order.run(), mProfiles.apply(order.task()), checkpoint));
        done.accept(
                new StartReply.Started(
                        OptionalLong.of(mClock.monotonicMillis()), OptionalLong.empty()));
    }

    @Override
    public void stop(WorkerId worker, TaskName task, long run, long term, Consumer<Boolean> done) {
        Run running = mRuns.get(task);
        if (running != null && running.mNumber == run) {
            end(task, running, EndKind.STOPPED);
        }
        done.accept(true);
    }

    @Override
    public void renewLease(LeaseRenewalRequest request, Consumer<LeaseRenewalReply> done) {
        mEnds.removeIf(end -> end.number() <= request.acknowledgedEnd());
        mRenewal = request;
        mRenewalCallback = done;
        mRenewalSinceMillis = mClock.monotonicMillis();
    }

    @Override
    public void pace(
            WorkerId worker,
            TaskName task,
            long run,
            int percent,
            long term,
            Consumer<Boolean> done) {
        Run running = mRuns.get(task);
        if (running != null && running.mNumber == run) {
            running.mPace = percent;
        }
        done.accept(true);
    }
}
