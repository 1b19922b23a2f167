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
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.InterferenceAction;
import org.knapweedbank.scheduling.PartitionScheduler;
import org.knapweedbank.scheduling.PendingTask;
import org.knapweedbank.scheduling.SchedulerSettings;
import org.knapweedbank.scheduling.SchedulingDecision;
import org.knapweedbank.scheduling.UsageObservation;
import org.knapweedbank.scheduling.VmDescription;
import org.knapweedbank.time.ManualClock;

/**
 * Service latency and batch work under interference control, no control and a static split. The
 * model: a service's p99 grows with the processor time of the batch tasks on its VM, by a factor
 * for each pair of classes, with the load and with noise; samples arrive late, some out of order
 * and some never.
 */
public final class InterferenceBenchmark implements Benchmark {
    private static final long SEED = 20261204;
    private static final int VMS = 40;
    private static final int SECONDS = 3_600;
    private static final int WARM_SECONDS = 600;
    private static final int[] LAG_SECONDS = {1, 5, 15};
    private static final int BATCH_CLASSES = 4;
    private static final int BATCH_TASKS = 7 * VMS;
    private static final int BATCH_CORES = 3;
    private static final long OBJECTIVE_MICROS = 10_000;
    private static final double QUIET_MICROS = 6_000;
    private static final double LOSS = 0.05;
    private static final double STATIC_SHARE = 0.3;
    private static final double EVICTED_SECONDS = 2;

    /** Growth of the p99 for each core of a batch class at full load, by service class. */
    private static final double[][] PAIR_FACTORS = {
        {0.005, 0.01, 0.03, 0.12}, {0.01, 0.08, 0.01, 0.03}
    };

    private enum Control {
        PRODUCT,
        NONE,
        STATIC
    }

    private record Delayed(long second, UsageObservation sample) {}

    private record Held(PendingTask task, VmId vm) {}

    private static final class Run {
        private final Control mControl;
        private final int mLag;
        private final ManualClock mClock = new ManualClock();
        private final UniformRandomProvider mRandom = RandomSource.XO_SHI_RO_256_PP.create(SEED);
        private final PartitionScheduler mScheduler;
        private final Map<VmId, List<Held>> mBatch = new HashMap<>();
        private final Map<VmId, Held> mServices = new HashMap<>();
        private final Map<TaskId, Double> mShares = new HashMap<>();
        private final Map<TaskId, Long> mReturning = new HashMap<>();
        private final Map<TaskId, PendingTask> mReturningTasks = new HashMap<>();
        private final PriorityQueue<Delayed> mDelayed =
                new PriorityQueue<>((a, b) -> Long.compare(a.second(), b.second()));
        private final Histogram mLatency = new Histogram(3);
        private long mViolations;
        private double mCoreSeconds;
        private int mEvictions;

        Run(Control control, int lag) {
            mControl = control;
            mLag = lag;
            mScheduler =
                    new PartitionScheduler(
                            SchedulerSettings.defaults(),
                            mClock,
                            RandomSource.XO_SHI_RO_256_PP.create(SEED));
            for (int i = 0; i < VMS; i++) {
                VmId vm = new VmId("vm" + i);
                mBatch.put(vm, new ArrayList<>());
                mScheduler.putVm(
                        new VmDescription(
                                vm,
                                new DataCentreId("dc"),
                                "rack" + i / 3,
                                new Resources(32_000, 128_000, 0)));
            }
            for (int i = 0; i < VMS; i++) {
                Held service =
                        new Held(
                                task("service" + i % 2, i, JobKind.SERVICE, 8), new VmId("vm" + i));
                mServices.put(service.vm(), service);
                mScheduler.adopt(service.task(), service.vm());
            }
            for (int i = 0; i < BATCH_TASKS; i++) {
                int batchClass = mRandom.nextInt(BATCH_CLASSES);
                mScheduler.enqueue(task("batch" + batchClass, i, JobKind.BATCH, BATCH_CORES));
            }
            handle(mScheduler.schedule(Integer.MAX_VALUE));
        }

        private PendingTask task(String taskClass, int index, JobKind kind, int cores) {
            return new PendingTask(
                    new TaskId(new JobId(taskClass + "-job"), index),
                    1,
                    "team",
                    kind,
                    taskClass,
                    new Resources(cores * 1_000L, cores * 2_048L, 0),
                    0,
                    false,
                    0);
        }

        private void handle(List<SchedulingDecision> decisions) {
            for (SchedulingDecision decision : decisions) {
                if (decision instanceof SchedulingDecision.Place place) {
                    Held held = new Held(place.task(), place.vm());
                    mBatch.get(place.vm()).add(held);
                    mShares.put(place.task().id(), mControl == Control.STATIC ? STATIC_SHARE : 1);
                }
            }
        }

        void run() {
            for (int second = 0; second < SECONDS; second++) {
                mClock.advance(Duration.ofSeconds(1));
                double load = 0.6 + 0.4 * Math.sin(2 * Math.PI * second / 1_200);
                boolean measured = second >= WARM_SECONDS;
                for (int i = 0; i < VMS; i++) {
                    step(new VmId("vm" + i), second, load, measured);
                }
                if (mControl == Control.PRODUCT) {
                    control(second, measured);
                }
            }
        }

        private void step(VmId vm, int second, double load, boolean measured) {
            Held service = mServices.get(vm);
            double growth = 0;
            for (Held batch : mBatch.get(vm)) {
                double cores = BATCH_CORES * mShares.get(batch.task().id());
                growth += cores * PAIR_FACTORS[number(service)][number(batch)];
                mCoreSeconds += measured ? cores : 0;
            }
            double noise = 1 + 0.1 * (mRandom.nextDouble() - 0.5);
            long p99 = (long) (QUIET_MICROS * (1 + growth * load) * noise);
            if (measured) {
                mLatency.recordValue(p99);
                mViolations += p99 > OBJECTIVE_MICROS ? 1 : 0;
            }
            if (mRandom.nextDouble() >= LOSS) {
                int jitter = mRandom.nextInt(10) == 0 ? mLag : 0;
                mDelayed.add(
                        new Delayed(
                                second + mLag + jitter,
                                new UsageObservation(
                                        service.task().id(),
                                        vm,
                                        service.task().resources(),
                                        p99,
                                        OBJECTIVE_MICROS,
                                        mClock.monotonicNanos())));
            }
        }

        private static int number(Held held) {
            String taskClass = held.task().taskClass();
            return taskClass.charAt(taskClass.length() - 1) - '0';
        }

        private void control(int second, boolean measured) {
            while (!mDelayed.isEmpty() && mDelayed.peek().second() <= second) {
                mScheduler.recordUsage(mDelayed.poll().sample());
            }
            for (InterferenceAction action : mScheduler.controlInterference()) {
                switch (action) {
                    case InterferenceAction.Throttle throttle ->
                            mShares.put(throttle.task(), throttle.share());
                    case InterferenceAction.Evict evict -> {
                        mEvictions += measured ? 1 : 0;
                        evict(evict, second);
                    }
                }
            }
            for (TaskId task : List.copyOf(mReturning.keySet())) {
                if (mReturning.get(task) <= second) {
                    mReturning.remove(task);
                    mScheduler.release(task);
                    mScheduler.enqueue(mReturningTasks.remove(task));
                }
            }
            handle(mScheduler.schedule(Integer.MAX_VALUE));
        }

        private void evict(InterferenceAction.Evict evict, int second) {
            for (Held held : List.copyOf(mBatch.get(evict.vm()))) {
                if (held.task().id().equals(evict.task())) {
                    mBatch.get(evict.vm()).remove(held);
                    mReturning.put(evict.task(), second + (long) EVICTED_SECONDS);
                    mReturningTasks.put(evict.task(), held.task());
                }
            }
        }
    }

    @Override
    public String name() {
        return "interference.control";
    }

    @Override
    public void run(BenchmarkReport report) {
        for (int lag : LAG_SECONDS) {
            report(new Run(Control.PRODUCT, lag), lag, null, report);
        }
        report(new Run(Control.NONE, 1), 1, "no control", report);
        report(new Run(Control.STATIC, 1), 1, "static split " + STATIC_SHARE, report);
    }

    private void report(Run run, int lag, String baseline, BenchmarkReport report) {
        run.run();
        String input =
                "seed " + SEED + ", 40 VMs, 280 batch tasks, 50 min, lag " + lag + " s, 5% lost";
        double hours = run.mCoreSeconds / 3_600;
        double late = 100.0 * run.mViolations / run.mLatency.getTotalCount();
        double p99 = run.mLatency.getValueAtPercentile(99) / (double) OBJECTIVE_MICROS;
        add(report, "p99", p99, "of objective", baseline, input);
        add(report, "aboveObjective", late, "% of service seconds", baseline, input);
        add(report, "batchWork", hours, "core hours", baseline, input);
        add(report, "evictions", run.mEvictions, "tasks", baseline, input);
    }

    private void add(
            BenchmarkReport report,
            String figure,
            double value,
            String unit,
            String baseline,
            String input) {
        report.add(new Figure(name() + "." + figure, value, unit, null, baseline, input));
    }
}
