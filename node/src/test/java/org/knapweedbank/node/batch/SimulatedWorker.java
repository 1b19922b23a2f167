package org.knapweedbank.node.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;
import org.knapweedbank.jobs.EndKind;
import org.knapweedbank.jobs.EndedTask;
import org.knapweedbank.jobs.RunningTask;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.node.agent.HoldReply;
import org.knapweedbank.node.agent.HoldRequest;
import org.knapweedbank.node.agent.StartReply;
import org.knapweedbank.node.agent.WorkerPort;
import org.knapweedbank.time.Clock;

/**
 * A worker in virtual time. Fillers share what serving tasks leave unused and raise the utilization
 * of these; a latency stands for a utilization as in a queue.
 */
final class SimulatedWorker implements WorkerPort {
    static final long OBJECTIVE_MILLIS = 125;

    private static final long FIGURE_MILLIS = 500;
    private static final double FIGURE_NOISE = 0.05;
    private static final double IDLE_LATENCY_MILLIS = OBJECTIVE_MILLIS * 0.2;
    private static final double MEAN_LOAD = 0.5;
    private static final double LOAD_SWING = 0.5;
    private static final double LOAD_PERIOD_MILLIS = 20_000;
    private static final double SATURATED = 0.98;

    private final Clock mClock;
    private final long mCapacity;
    private final Function<TaskName, TaskProfile> mProfiles;
    private final Random mRandom;
    private final Map<TaskName, Run> mRuns = new HashMap<>();
    private final List<EndedTask> mEnds = new ArrayList<>();
    private HoldRequest mHold;
    private Consumer<HoldReply> mHolder;
    private long mHeldSince;
    private long mLastEnd;
    private long mFiguredAt;

    /** Core-milliseconds that fillers of each job have used here. */
    final Map<String, Double> mUsed = new HashMap<>();

    SimulatedWorker(
            Clock clock, long capacity, Function<TaskName, TaskProfile> profiles, long seed) {
        mClock = clock;
        mCapacity = capacity;
        mProfiles = profiles;
        mRandom = new Random(seed);
    }

    private static final class Run {
        final long mNumber;
        final TaskProfile mProfile;
        int mPace = 100;
        double mDoneMillis;
        double mUsedSinceFigure;
        long mFigure;

        Run(long number, TaskProfile profile, double doneMillis) {
            mNumber = number;
            mProfile = profile;
            mDoneMillis = doneMillis;
        }

        double asked() {
            return mProfile.milliCpu() * mPace / 100.0;
        }

        int percent() {
            return mProfile.serving()
                    ? 100
                    : (int) Math.min(99, 100 * mDoneMillis / mProfile.runMillis());
        }
    }

    /** Lets time pass for what runs here. */
    void advance(long millis) {
        double left = mCapacity;
        double asked = 0;
        double pressure = 0;
        for (Run run : mRuns.values()) {
            if (run.mProfile.serving()) {
                left -= run.mProfile.milliCpu() * load(run.mProfile);
            } else {
                asked += run.asked();
            }
        }
        double share = asked > left ? left / asked : 1;
        for (Run run : mRuns.values()) {
            if (!run.mProfile.serving()) {
                pressure += run.mProfile.pressure() * run.asked() * share / mCapacity;
            }
        }
        for (Map.Entry<TaskName, Run> entry : List.copyOf(mRuns.entrySet())) {
            work(entry.getKey(), entry.getValue(), share, millis);
        }
        figure(pressure);
        answer();
    }

    private double load(TaskProfile profile) {
        double angle = 2 * Math.PI * mClock.monotonicMillis() / LOAD_PERIOD_MILLIS;
        return MEAN_LOAD * (1 + LOAD_SWING * Math.sin(angle + profile.phase()));
    }

    private void work(TaskName task, Run run, double share, long millis) {
        if (run.mProfile.serving()) {
            return;
        }
        double used = run.asked() * share * millis;
        run.mUsedSinceFigure += used;
        run.mDoneMillis += used / run.mProfile.milliCpu();
        mUsed.merge(task.job().value(), used / 1_000, Double::sum);
        if (run.mDoneMillis >= run.mProfile.runMillis()) {
            end(task, run, EndKind.DONE);
        }
    }

    private void figure(double pressure) {
        long now = mClock.monotonicMillis();
        if (now - mFiguredAt < FIGURE_MILLIS) {
            return;
        }
        double passed = now - mFiguredAt;
        mFiguredAt = now;
        for (Run run : mRuns.values()) {
            double noise = 1 + FIGURE_NOISE * mRandom.nextGaussian();
            if (run.mProfile.serving()) {
                double utilization = Math.min(SATURATED, load(run.mProfile) + pressure);
                run.mFigure = Math.round(IDLE_LATENCY_MILLIS / (1 - utilization) * noise);
            } else {
                run.mFigure = Math.round(run.mUsedSinceFigure / passed * noise);
                run.mUsedSinceFigure = 0;
            }
        }
    }

    private void end(TaskName task, Run run, EndKind how) {
        mRuns.remove(task);
        String saved = how == EndKind.STOPPED ? Double.toString(run.mDoneMillis) : "";
        mEnds.add(new EndedTask(++mLastEnd, task, run.mNumber, how, saved));
    }

    private void answer() {
        if (mHold == null) {
            return;
        }
        boolean over = mClock.monotonicMillis() - mHeldSince >= mHold.patience().toMillis();
        if (over || !mEnds.isEmpty()) {
            Consumer<HoldReply> holder = mHolder;
            mHold = null;
            holder.accept(
                    new HoldReply.Held(mClock.monotonicMillis(), 1, running(), List.copyOf(mEnds)));
        }
    }

    private List<RunningTask> running() {
        return mRuns.entrySet().stream()
                .map(
                        e -> {
                            Run run = e.getValue();
                            return new RunningTask(
                                    e.getKey(), run.mNumber, "", run.percent(), run.mFigure);
                        })
                .toList();
    }

    @Override
    public void start(
            WorkerId worker,
            StartOrder order,
            long deadline,
            long term,
            Consumer<StartReply> done) {
        double saved = order.checkpoint().isEmpty() ? 0 : Double.parseDouble(order.checkpoint());
        mRuns.put(order.task(), new Run(order.run(), mProfiles.apply(order.task()), saved));
        done.accept(new StartReply.Started(mClock.monotonicMillis()));
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
    public void hold(HoldRequest request, Consumer<HoldReply> done) {
        mEnds.removeIf(end -> end.number() <= request.acknowledged());
        mHold = request;
        mHolder = done;
        mHeldSince = mClock.monotonicMillis();
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
