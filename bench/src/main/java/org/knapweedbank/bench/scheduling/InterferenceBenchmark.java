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
 * Compares service latency and batch throughput under interference control, without control and
 * under a static processor limit for batch tasks. In the simulation, the p99 latency of a service
 * grows with the processor time of the batch tasks on its VM, by a factor for each pair of classes,
 * with the load and with noise. Usage samples are delivered late, some out of order and some not at
 * all.
 */
public final class InterferenceBenchmark implements Benchmark {
    private static final long SEED = 20261204;
    private static final int VM_COUNT = 40;
    private static final int DURATION_SECONDS = 3_600;
    private static final int WARM_UP_SECONDS = 600;

    /** Delays after which usage samples reach the scheduler, one run for each. */
    private static final int[] SAMPLE_LAGS_SECONDS = {1, 5, 15};

    private static final int BATCH_CLASS_COUNT = 4;
    private static final int BATCH_TASK_COUNT = 7 * VM_COUNT;
    private static final int CORES_PER_BATCH_TASK = 3;
    private static final long P99_OBJECTIVE_MICROS = 10_000;

    /** The p99 latency of a service without batch tasks on its VM, apart from noise. */
    private static final double UNDISTURBED_P99_MICROS = 6_000;

    /** Share of usage samples that are lost. */
    private static final double SAMPLE_LOSS_SHARE = 0.05;

    /** Share of the requested processor time that a batch task gets under the static limit. */
    private static final double STATIC_CPU_SHARE = 0.3;

    /** Time from the eviction of a task until it is queued again. */
    private static final double REQUEUE_DELAY_SECONDS = 2;

    /**
     * Relative growth of the p99 latency for each core that batch tasks use at full load, by
     * service class and batch class.
     */
    private static final double[][] P99_GROWTH_PER_CORE = {
        {0.005, 0.01, 0.03, 0.12}, {0.01, 0.08, 0.01, 0.03}
    };

    /** How the processor time of batch tasks is limited. */
    private enum ControlMode {
        /** By the interference control of the scheduler. */
        ADAPTIVE,
        /** Not at all. */
        NONE,
        /** To a fixed share. */
        STATIC
    }

    /**
     * A usage sample on its way to the scheduler.
     *
     * @param deliverySecond simulated second of the delivery
     * @param sample the sample
     */
    private record DelayedSample(long deliverySecond, UsageObservation sample) {}

    /** A task and the VM on which it runs. */
    private record PlacedTask(PendingTask task, VmId vm) {}

    /** One simulated run with a control mode and a delay of usage samples. */
    private static final class Simulation {
        private final ControlMode mMode;
        private final int mLagSeconds;
        private final ManualClock mClock = new ManualClock();
        private final UniformRandomProvider mRandom = RandomSource.XO_SHI_RO_256_PP.create(SEED);
        private final PartitionScheduler mScheduler;
        private final Map<VmId, List<PlacedTask>> mBatchTasksByVm = new HashMap<>();
        private final Map<VmId, PlacedTask> mServiceByVm = new HashMap<>();

        /** Share of the requested processor time that each batch task may use. */
        private final Map<TaskId, Double> mCpuShares = new HashMap<>();

        /** Simulated second at which each evicted task is queued again. */
        private final Map<TaskId, Long> mRequeueSeconds = new HashMap<>();

        private final Map<TaskId, PendingTask> mEvictedTasks = new HashMap<>();
        private final PriorityQueue<DelayedSample> mDelayedSamples =
                new PriorityQueue<>((a, b) -> Long.compare(a.deliverySecond(), b.deliverySecond()));
        private final Histogram mP99Micros = new Histogram(3);

        /** Number of samples after the warm-up with a p99 latency above the objective. */
        private long mViolations;

        private double mBatchCoreSeconds;
        private int mEvictions;

        /**
         * Creates a fleet with a service on each VM and places the batch tasks.
         *
         * @param mode how the batch tasks are limited
         * @param lagSeconds delay of the usage samples
         */
        Simulation(ControlMode mode, int lagSeconds) {
            mMode = mode;
            mLagSeconds = lagSeconds;
            mScheduler =
                    new PartitionScheduler(
                            SchedulerSettings.defaults(),
                            mClock,
                            RandomSource.XO_SHI_RO_256_PP.create(SEED));
            for (int i = 0; i < VM_COUNT; i++) {
                VmId vm = new VmId("vm" + i);
                mBatchTasksByVm.put(vm, new ArrayList<>());
                mScheduler.putVm(
                        new VmDescription(
                                vm,
                                new DataCentreId("dc"),
                                "rack" + i / 3,
                                new Resources(32_000, 128_000, 0)));
            }
            for (int i = 0; i < VM_COUNT; i++) {
                PlacedTask service =
                        new PlacedTask(
                                createTask("service" + i % 2, i, JobKind.SERVICE, 8),
                                new VmId("vm" + i));
                mServiceByVm.put(service.vm(), service);
                mScheduler.adopt(service.task(), service.vm());
            }
            for (int i = 0; i < BATCH_TASK_COUNT; i++) {
                int batchClass = mRandom.nextInt(BATCH_CLASS_COUNT);
                mScheduler.enqueue(
                        createTask("batch" + batchClass, i, JobKind.BATCH, CORES_PER_BATCH_TASK));
            }
            applyPlacements(mScheduler.schedule(Integer.MAX_VALUE));
        }

        private PendingTask createTask(String taskClass, int index, JobKind kind, int cores) {
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

        /**
         * Adds the placed batch tasks to their VMs, with the processor share that the control mode
         * starts with.
         */
        private void applyPlacements(List<SchedulingDecision> decisions) {
            for (SchedulingDecision decision : decisions) {
                if (decision instanceof SchedulingDecision.Place place) {
                    PlacedTask placed = new PlacedTask(place.task(), place.vm());
                    mBatchTasksByVm.get(place.vm()).add(placed);
                    mCpuShares.put(
                            place.task().id(), mMode == ControlMode.STATIC ? STATIC_CPU_SHARE : 1);
                }
            }
        }

        /**
         * Simulates all seconds; the load of the services follows a sine wave with a period of 20
         * minutes.
         */
        void run() {
            for (int second = 0; second < DURATION_SECONDS; second++) {
                mClock.advance(Duration.ofSeconds(1));
                double load = 0.6 + 0.4 * Math.sin(2 * Math.PI * second / 1_200);
                boolean isMeasured = second >= WARM_UP_SECONDS;
                for (int i = 0; i < VM_COUNT; i++) {
                    simulateVm(new VmId("vm" + i), second, load, isMeasured);
                }
                if (mMode == ControlMode.ADAPTIVE) {
                    applyInterferenceControl(second, isMeasured);
                }
            }
        }

        /**
         * Computes the p99 latency of the service on a VM in one second and sends it as a usage
         * sample.
         */
        private void simulateVm(VmId vm, int second, double load, boolean isMeasured) {
            PlacedTask service = mServiceByVm.get(vm);
            double p99Growth = 0;
            for (PlacedTask batch : mBatchTasksByVm.get(vm)) {
                double coresUsed = CORES_PER_BATCH_TASK * mCpuShares.get(batch.task().id());
                p99Growth +=
                        coresUsed * P99_GROWTH_PER_CORE[classIndex(service)][classIndex(batch)];
                mBatchCoreSeconds += isMeasured ? coresUsed : 0;
            }
            double noise = 1 + 0.1 * (mRandom.nextDouble() - 0.5);
            long p99 = (long) (UNDISTURBED_P99_MICROS * (1 + p99Growth * load) * noise);
            if (isMeasured) {
                mP99Micros.recordValue(p99);
                mViolations += p99 > P99_OBJECTIVE_MICROS ? 1 : 0;
            }
            if (mRandom.nextDouble() >= SAMPLE_LOSS_SHARE) {
                int reorderingDelaySeconds = mRandom.nextInt(10) == 0 ? mLagSeconds : 0;
                mDelayedSamples.add(
                        new DelayedSample(
                                second + mLagSeconds + reorderingDelaySeconds,
                                new UsageObservation(
                                        service.task().id(),
                                        vm,
                                        service.task().resources(),
                                        p99,
                                        P99_OBJECTIVE_MICROS,
                                        mClock.monotonicNanos())));
            }
        }

        /** Returns the index of the class of a task, which is the last digit of its name. */
        private static int classIndex(PlacedTask placed) {
            String taskClass = placed.task().taskClass();
            return taskClass.charAt(taskClass.length() - 1) - '0';
        }

        /**
         * Delivers due samples, applies the actions of the scheduler and queues evicted tasks
         * again.
         */
        private void applyInterferenceControl(int second, boolean isMeasured) {
            while (!mDelayedSamples.isEmpty()
                    && mDelayedSamples.peek().deliverySecond() <= second) {
                mScheduler.recordUsage(mDelayedSamples.poll().sample());
            }
            for (InterferenceAction action : mScheduler.controlInterference()) {
                switch (action) {
                    case InterferenceAction.Throttle throttle ->
                            mCpuShares.put(throttle.task(), throttle.share());
                    case InterferenceAction.Evict evict -> {
                        mEvictions += isMeasured ? 1 : 0;
                        evict(evict, second);
                    }
                }
            }
            for (TaskId task : List.copyOf(mRequeueSeconds.keySet())) {
                if (mRequeueSeconds.get(task) <= second) {
                    mRequeueSeconds.remove(task);
                    mScheduler.release(task);
                    mScheduler.enqueue(mEvictedTasks.remove(task));
                }
            }
            applyPlacements(mScheduler.schedule(Integer.MAX_VALUE));
        }

        /** Removes an evicted task from its VM and schedules its return to the queue. */
        private void evict(InterferenceAction.Evict evict, int second) {
            for (PlacedTask placed : List.copyOf(mBatchTasksByVm.get(evict.vm()))) {
                if (placed.task().id().equals(evict.task())) {
                    mBatchTasksByVm.get(evict.vm()).remove(placed);
                    mRequeueSeconds.put(evict.task(), second + (long) REQUEUE_DELAY_SECONDS);
                    mEvictedTasks.put(evict.task(), placed.task());
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
        for (int lagSeconds : SAMPLE_LAGS_SECONDS) {
            runAndReport(
                    new Simulation(ControlMode.ADAPTIVE, lagSeconds), lagSeconds, null, report);
        }
        runAndReport(new Simulation(ControlMode.NONE, 1), 1, "no control", report);
        runAndReport(
                new Simulation(ControlMode.STATIC, 1),
                1,
                "static split " + STATIC_CPU_SHARE,
                report);
    }

    /** Runs a simulation and reports its figures. */
    private void runAndReport(
            Simulation simulation, int lagSeconds, String baseline, BenchmarkReport report) {
        simulation.run();
        String input =
                "seed "
                        + SEED
                        + ", 40 VMs, 280 batch tasks, 50 min, lag "
                        + lagSeconds
                        + " s, 5% lost";
        double batchCoreHours = simulation.mBatchCoreSeconds / 3_600;
        double violationPercent =
                100.0 * simulation.mViolations / simulation.mP99Micros.getTotalCount();
        double p99 = simulation.mP99Micros.getValueAtPercentile(99) / (double) P99_OBJECTIVE_MICROS;
        add(report, "p99", p99, "of objective", baseline, input);
        add(report, "aboveObjective", violationPercent, "% of service seconds", baseline, input);
        add(report, "batchWork", batchCoreHours, "core hours", baseline, input);
        add(report, "evictions", simulation.mEvictions, "tasks", baseline, input);
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
