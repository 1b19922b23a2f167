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
 * Measures the time from submission to start of urgent tasks on a full fleet, in virtual time. The
 * simulation schedules every 50 ms; each command takes one journal commit of 50 ms and a message of
 * 4 ms, and the victims of preemption write checkpoints with log-normal durations.
 */
public final class UrgentStart implements Benchmark {
    private static final long SEED = 20261204;
    private static final int WORKERS = FleetModel.TARGET_WORKERS;

    /** Time between two scheduling runs. */
    private static final long TICK_MILLIS = 50;

    /** Delay of a command to an agent: one journal commit and one message. */
    private static final long COMMAND_DELAY_MILLIS = 54;

    /** Delay of the message by which an agent reports the end of a task. */
    private static final long REPORT_DELAY_MILLIS = 4;

    private static final int TICK_COUNT = 2_400;

    /** Number of ticks at the start that are not measured. */
    private static final int WARM_UP_TICKS = 600;

    /**
     * Number of running tasks that finish in each tick and are replaced by newly submitted ones.
     */
    private static final int COMPLETIONS_PER_TICK = 57;

    private static final int URGENT_TASKS_PER_TICK = 3;

    /**
     * Median of the checkpoint durations, 0.8 s; with {@link #CHECKPOINT_SIGMA}, their p99 is 2.6
     * s.
     */
    private static final double CHECKPOINT_MEDIAN_MILLIS = 800;

    /** Standard deviation of the logarithm of the checkpoint durations. */
    private static final double CHECKPOINT_SIGMA = 0.5;

    /**
     * Share of checkpoints that take {@link #STUCK_CHECKPOINT_MILLIS}, in the runs that have such
     * checkpoints.
     */
    private static final double STUCK_CHECKPOINT_SHARE = 0.005;

    private static final long STUCK_CHECKPOINT_MILLIS = 30_000;
    private static final double TARGET_START_SECONDS = 3.8;

    /**
     * Release of the resources of a preempted task when its checkpoint has been reported.
     *
     * @param releaseMillis virtual time of the release
     * @param task the preempted task
     */
    private record ScheduledRelease(long releaseMillis, TaskId task) {}

    /** One simulated run with given scheduler settings. */
    private static final class Simulation {
        private final FleetModel mFleet = new FleetModel(SEED);
        private final UniformRandomProvider mRandom = RandomSource.XO_SHI_RO_256_PP.create(SEED);
        private final ManualClock mClock = new ManualClock();
        private final PartitionScheduler mScheduler;
        private final List<TaskId> mRunning = new ArrayList<>();

        /** Index of each running task in {@link #mRunning}. */
        private final Map<TaskId, Integer> mIndexInRunning = new HashMap<>();

        /** Submission times of the measured tasks that have not started. */
        private final Map<TaskId, Long> mSubmitMillisByPendingTask = new HashMap<>();

        private final PriorityQueue<ScheduledRelease> mScheduledReleases =
                new PriorityQueue<>((a, b) -> Long.compare(a.releaseMillis(), b.releaseMillis()));

        /** Times from submission to start. */
        private final Histogram mStartMillis = new Histogram(3);

        /** Whether the measured tasks are submitted as urgent and so may preempt others. */
        private final boolean mMarksUrgent;

        private final double mStuckCheckpointShare;
        private long mNowMillis;
        private long mPreemptions;
        private int mNextJobNumber;

        /**
         * Creates a fleet and submits more tasks than fit.
         *
         * @param settings settings of the scheduler
         * @param marksUrgent true if the measured tasks are submitted as urgent
         * @param stuckCheckpointShare share of checkpoints that are stuck
         */
        Simulation(SchedulerSettings settings, boolean marksUrgent, double stuckCheckpointShare) {
            mMarksUrgent = marksUrgent;
            mStuckCheckpointShare = stuckCheckpointShare;
            mScheduler =
                    new PartitionScheduler(
                            settings, mClock, RandomSource.XO_SHI_RO_256_PP.create(SEED));
            for (VmDescription vm : mFleet.createVms(WORKERS)) {
                mScheduler.putVm(vm);
            }
            mScheduler.setQuotas(mFleet.createQuotas(WORKERS));
            for (int i = 0; i < 75_000; i++) {
                mScheduler.enqueue(mFleet.nextTask(0));
            }
            applyDecisions(mScheduler.schedule(Integer.MAX_VALUE));
        }

        /** Simulates all ticks. */
        void run() {
            for (int tick = 0; tick < TICK_COUNT; tick++) {
                mNowMillis += TICK_MILLIS;
                mClock.advance(Duration.ofMillis(TICK_MILLIS));
                if (tick == WARM_UP_TICKS) {
                    mStartMillis.reset();
                    mPreemptions = 0;
                }
                while (!mScheduledReleases.isEmpty()
                        && mScheduledReleases.peek().releaseMillis() <= mNowMillis) {
                    mScheduler.release(mScheduledReleases.poll().task());
                }
                for (int i = 0; i < COMPLETIONS_PER_TICK; i++) {
                    TaskId endedTask = mRunning.get(mRandom.nextInt(mRunning.size()));
                    removeRunning(endedTask);
                    mScheduler.release(endedTask);
                    mScheduler.enqueue(mFleet.nextTask(mClock.monotonicNanos()));
                }
                for (int i = 0; i < URGENT_TASKS_PER_TICK; i++) {
                    submitUrgentTask();
                }
                applyDecisions(mScheduler.schedule(Integer.MAX_VALUE));
            }
        }

        /** Submits one measured task. */
        private void submitUrgentTask() {
            int cores = 1 << mRandom.nextInt(5);
            boolean accelerated = mRandom.nextInt(10) == 0;
            PendingTask task =
                    new PendingTask(
                            new TaskId(new JobId("urgent" + mNextJobNumber++), 0),
                            1,
                            "team" + mRandom.nextInt(260),
                            JobKind.BATCH,
                            "urgent",
                            accelerated
                                    ? new Resources(4_000, 16_384, 1)
                                    : new Resources(1_000L * cores, 2_048L * cores, 0),
                            0,
                            mMarksUrgent,
                            mClock.monotonicNanos());
            // The submission time is uniformly distributed over the past tick.
            mSubmitMillisByPendingTask.put(
                    task.id(), mNowMillis - mRandom.nextInt((int) TICK_MILLIS));
            mScheduler.enqueue(task);
        }

        /**
         * Starts placed tasks, and stops preempted ones, whose resources are released after their
         * checkpoints.
         */
        private void applyDecisions(List<SchedulingDecision> decisions) {
            for (SchedulingDecision decision : decisions) {
                if (decision instanceof SchedulingDecision.Place place) {
                    mIndexInRunning.put(place.task().id(), mRunning.size());
                    mRunning.add(place.task().id());
                    Long submitMillis = mSubmitMillisByPendingTask.remove(place.task().id());
                    if (submitMillis != null) {
                        mStartMillis.recordValue(mNowMillis + COMMAND_DELAY_MILLIS - submitMillis);
                    }
                } else if (decision instanceof SchedulingDecision.Preempt preempt) {
                    mPreemptions++;
                    removeRunning(preempt.victim());
                    double normal = nextGaussian();
                    long checkpointMillis =
                            mRandom.nextDouble() < mStuckCheckpointShare
                                    ? STUCK_CHECKPOINT_MILLIS
                                    : (long)
                                            (CHECKPOINT_MEDIAN_MILLIS
                                                    * Math.exp(CHECKPOINT_SIGMA * normal));
                    mScheduledReleases.add(
                            new ScheduledRelease(
                                    mNowMillis
                                            + COMMAND_DELAY_MILLIS
                                            + checkpointMillis
                                            + REPORT_DELAY_MILLIS,
                                    preempt.victim()));
                }
            }
        }

        /** Returns a random number with standard normal distribution, by the Box-Muller method. */
        private double nextGaussian() {
            return Math.sqrt(-2 * Math.log(1 - mRandom.nextDouble()))
                    * Math.cos(2 * Math.PI * mRandom.nextDouble());
        }

        /**
         * Removes a task from the running tasks in constant time, by moving the last one to its
         * index.
         */
        private void removeRunning(TaskId task) {
            int index = mIndexInRunning.remove(task);
            TaskId last = mRunning.removeLast();
            if (!last.equals(task)) {
                mRunning.set(index, last);
                mIndexInRunning.put(last, index);
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
        runAndReport(new Simulation(settings, true, 0), null, report);
        runAndReport(new Simulation(settings, true, STUCK_CHECKPOINT_SHARE), null, report);
        for (Duration timeout : List.of(Duration.ofMillis(1_500), Duration.ofDays(1))) {
            SchedulerSettings withTimeout = settings.withReservationTimeout(timeout);
            String baseline = "second choice of victims after " + timeout;
            runAndReport(new Simulation(withTimeout, true, 0), baseline, report);
            runAndReport(
                    new Simulation(withTimeout, true, STUCK_CHECKPOINT_SHARE), baseline, report);
        }
        runAndReport(new Simulation(settings, false, 0), "no preemption", report);
    }

    /** Runs a simulation and reports its figures. */
    private void runAndReport(Simulation simulation, String baseline, BenchmarkReport report) {
        simulation.run();
        String input =
                "seed "
                        + SEED
                        + ", 1900 workers, full, 1200 starts/s of which 60 urgent, 90 s, checkpoint"
                        + " log-normal median 0.8 s sigma 0.5, stuck for 30 s: "
                        + simulation.mStuckCheckpointShare * 100
                        + "%";
        String target = baseline == null ? "< " + TARGET_START_SECONDS : null;
        Histogram starts = simulation.mStartMillis;
        add(report, "p50", starts.getValueAtPercentile(50) / 1e3, "s", null, baseline, input);
        add(report, "p99", starts.getValueAtPercentile(99) / 1e3, "s", target, baseline, input);
        add(report, "max", starts.getMaxValue() / 1e3, "s", target, baseline, input);
        add(report, "started", starts.getTotalCount(), "tasks", null, baseline, input);
        add(
                report,
                "waiting",
                simulation.mSubmitMillisByPendingTask.size(),
                "tasks",
                null,
                baseline,
                input);
        add(report, "victims", simulation.mPreemptions, "tasks", null, baseline, input);
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
