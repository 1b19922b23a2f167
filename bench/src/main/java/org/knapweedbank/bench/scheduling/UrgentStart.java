package org.knapweedbank.bench.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.knapweedbank.bench.Benchmark;
import org.knapweedbank.bench.BenchmarkReport;
import org.knapweedbank.bench.Figure;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.scheduling.PartitionScheduler;
import org.knapweedbank.scheduling.PendingTask;
import org.knapweedbank.scheduling.SchedulerSettings;
import org.knapweedbank.scheduling.SchedulingDecision;
import org.knapweedbank.scheduling.VmDescription;
import org.knapweedbank.time.ManualClock;

/**
 * Time from submission to start of urgent tasks on a full fleet, on virtual time. The model of the
 * environment: decisions every 50 ms, one journal commit of 50 ms and a message of 4 ms for each
 * command, and log-normal checkpoint times.
 */
public final class UrgentStart implements Benchmark {
    private static final long SEED = 20261204;
    private static final int WORKERS = FleetModel.TARGET_WORKERS;
    private static final long TICK_MILLIS = 50;
    private static final long COMMAND_MILLIS = 54;
    private static final long REPORT_MILLIS = 4;
    private static final int TICKS = 2_400;
    private static final int WARM_TICKS = 600;
    private static final int ENDING_EACH_TICK = 57;
    private static final int URGENT_EACH_TICK = 3;

    /** Median 0.8 s, p99 2.6 s. */
    private static final double MEDIAN_MILLIS = 800;

    private static final double SIGMA = 0.5;

    /** Share of the checkpoints that do not end in time, in the runs with such. */
    private static final double STUCK_SHARE = 0.005;

    private static final long STUCK_MILLIS = 30_000;
    private static final double TARGET_SECONDS = 3.8;

    private record Release(long millis, TaskId task) {}

    /** One run of the model. */
    private static final class Run {
        private final FleetModel mModel = new FleetModel(SEED);
        private final UniformRandomProvider mRandom = RandomSource.XO_SHI_RO_256_PP.create(SEED);
        private final ManualClock mClock = new ManualClock();
        private final PartitionScheduler mScheduler;
        private final List<TaskId> mRunning = new ArrayList<>();
        private final Map<TaskId, Integer> mPositions = new HashMap<>();
        private final Map<TaskId, Long> mWaiting = new HashMap<>();
        private final PriorityQueue<Release> mReleases =
                new PriorityQueue<>((a, b) -> Long.compare(a.millis(), b.millis()));
        private final Histogram mStartMillis = new Histogram(3);
        private final boolean mUrgent;
        private final double mStuckShare;
        private long mMillis;
        private long mPreemptions;
        private int mNextUrgent;

        Run(SchedulerSettings settings, boolean urgent, double stuckShare) {
            mUrgent = urgent;
            mStuckShare = stuckShare;
            mScheduler =
                    new PartitionScheduler(
                            settings, mClock, RandomSource.XO_SHI_RO_256_PP.create(SEED));
            for (VmDescription vm : mModel.vms(WORKERS)) {
                mScheduler.putVm(vm);
            }
            mScheduler.setQuotas(mModel.quotas(WORKERS));
            for (int i = 0; i < 75_000; i++) {
                mScheduler.enqueue(mModel.task(0));
            }
            handle(mScheduler.schedule(Integer.MAX_VALUE));
        }

        void run() {
            for (int tick = 0; tick < TICKS; tick++) {
                mMillis += TICK_MILLIS;
                mClock.advance(Duration.ofMillis(TICK_MILLIS));
                if (tick == WARM_TICKS) {
                    mStartMillis.reset();
                    mPreemptions = 0;
                }
                while (!mReleases.isEmpty() && mReleases.peek().millis() <= mMillis) {
                    mScheduler.release(mReleases.poll().task());
                }
                for (int i = 0; i < ENDING_EACH_TICK; i++) {
                    TaskId ended = mRunning.get(mRandom.nextInt(mRunning.size()));
                    forget(ended);
                    mScheduler.release(ended);
                    mScheduler.enqueue(mModel.task(mClock.monotonicNanos()));
                }
                for (int i = 0; i < URGENT_EACH_TICK; i++) {
                    submitUrgent();
                }
                handle(mScheduler.schedule(Integer.MAX_VALUE));
            }
        }

        private void submitUrgent() {
            int size = 1 << mRandom.nextInt(5);
            boolean accelerated = mRandom.nextInt(10) == 0;
            PendingTask task =
                    new PendingTask(
                            new TaskId(new JobId("urgent" + mNextUrgent++), 0),
                            1,
                            "team" + mRandom.nextInt(260),
                            JobKind.BATCH,
                            "urgent",
                            accelerated
                                    ? new Resources(4_000, 16_384, 1)
                                    : new Resources(1_000L * size, 2_048L * size, 0),
                            0,
                            mUrgent,
                            mClock.monotonicNanos());
            // Submissions arrive at any moment of the tick that has passed.
            mWaiting.put(task.id(), mMillis - mRandom.nextInt((int) TICK_MILLIS));
            mScheduler.enqueue(task);
        }

        private void handle(List<SchedulingDecision> decisions) {
            for (SchedulingDecision decision : decisions) {
                if (decision instanceof SchedulingDecision.Place place) {
                    mPositions.put(place.task().id(), mRunning.size());
                    mRunning.add(place.task().id());
                    Long submitted = mWaiting.remove(place.task().id());
                    if (submitted != null) {
                        mStartMillis.recordValue(mMillis + COMMAND_MILLIS - submitted);
                    }
                } else if (decision instanceof SchedulingDecision.Preempt preempt) {
                    mPreemptions++;
                    forget(preempt.victim());
                    double normal = gaussian();
                    long checkpoint =
                            mRandom.nextDouble() < mStuckShare
                                    ? STUCK_MILLIS
                                    : (long) (MEDIAN_MILLIS * Math.exp(SIGMA * normal));
                    mReleases.add(
                            new Release(
                                    mMillis + COMMAND_MILLIS + checkpoint + REPORT_MILLIS,
                                    preempt.victim()));
                }
            }
        }

        private double gaussian() {
            return Math.sqrt(-2 * Math.log(1 - mRandom.nextDouble()))
                    * Math.cos(2 * Math.PI * mRandom.nextDouble());
        }

        private void forget(TaskId task) {
            int at = mPositions.remove(task);
            TaskId last = mRunning.removeLast();
            if (!last.equals(task)) {
                mRunning.set(at, last);
                mPositions.put(last, at);
            }
        }
    }

    @Override
    public String name() {
        return "urgent.start";
    }

    @Override
    public void run(BenchmarkReport report) {
        SchedulerSettings settings = SchedulerSettings.defaults();
        report(new Run(settings, true, 0), null, report);
        report(new Run(settings, true, STUCK_SHARE), null, report);
        for (Duration timeout : List.of(Duration.ofMillis(1_500), Duration.ofDays(1))) {
            SchedulerSettings other = settings.withReservationTimeout(timeout);
            String baseline = "second choice of victims after " + timeout;
            report(new Run(other, true, 0), baseline, report);
            report(new Run(other, true, STUCK_SHARE), baseline, report);
        }
        report(new Run(settings, false, 0), "no preemption", report);
    }

    private void report(Run run, String baseline, BenchmarkReport report) {
        run.run();
        String input =
                "seed "
                        + SEED
                        + ", 1900 workers, full, 1200 starts/s of which 60 urgent, 90 s, checkpoint"
                        + " log-normal median 0.8 s sigma 0.5, stuck for 30 s: "
                        + run.mStuckShare * 100
                        + "%";
        String target = baseline == null ? "< " + TARGET_SECONDS : null;
        Histogram starts = run.mStartMillis;
        add(report, "p50", starts.getValueAtPercentile(50) / 1e3, "s", null, baseline, input);
        add(report, "p99", starts.getValueAtPercentile(99) / 1e3, "s", target, baseline, input);
        add(report, "max", starts.getMaxValue() / 1e3, "s", target, baseline, input);
        add(report, "started", starts.getTotalCount(), "tasks", null, baseline, input);
        add(report, "waiting", run.mWaiting.size(), "tasks", null, baseline, input);
        add(report, "victims", run.mPreemptions, "tasks", null, baseline, input);
    }

    private void add(
            BenchmarkReport report,
            String figure,
            double value,
            String unit,
            String target,
            String baseline,
            String input) {
        report.add(new Figure(name() + "." + figure, value, unit, target, baseline, input));
    }
}
