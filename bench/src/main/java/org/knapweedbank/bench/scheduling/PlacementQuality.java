package org.knapweedbank.bench.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.knapweedbank.bench.Benchmark;
import org.knapweedbank.bench.BenchmarkReport;
import org.knapweedbank.bench.Figure;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.PartitionScheduler;
import org.knapweedbank.scheduling.PendingTask;
import org.knapweedbank.scheduling.SchedulerSettings;
import org.knapweedbank.scheduling.SchedulingDecision;
import org.knapweedbank.scheduling.VmDescription;
import org.knapweedbank.time.ManualClock;

/**
 * Stranded accelerators and memory when batch tasks arrive one by one, run for a drawn time and are
 * dropped if they do not fit at once. First-fit and the scheduler see the same tasks.
 */
public final class PlacementQuality implements Benchmark {
    private static final long SEED = 20261204;
    private static final int WORKERS = FleetModel.TARGET_WORKERS;
    private static final int STEPS = 150_000;
    private static final int MEASURE_FROM = 80_000;
    private static final int MEASURE_EVERY = 500;

    /** Mean steps that a task runs; with the mix below, more work is offered than fits. */
    private static final double MEAN_LIFE = 40_000;

    private static final double ACCELERATOR_SHARE = 0.06;
    private static final Resources ONE_ACCELERATOR = new Resources(4_000, 16_384, 1);
    private static final long SMALLEST_CPU = 500;

    /** Places a task, or drops it. */
    private interface Placer {
        int place(PendingTask task);

        void release(PendingTask task, int vm);
    }

    private static final class FirstFit implements Placer {
        private final Resources[] mFree;

        FirstFit(List<VmDescription> vms) {
            mFree = vms.stream().map(VmDescription::capacity).toArray(Resources[]::new);
        }

        @Override
        public int place(PendingTask task) {
            for (int i = 0; i < mFree.length; i++) {
                if (task.resources().fitsIn(mFree[i])) {
                    mFree[i] = mFree[i].minus(task.resources());
                    return i;
                }
            }
            return -1;
        }

        @Override
        public void release(PendingTask task, int vm) {
            mFree[vm] = mFree[vm].plus(task.resources());
        }
    }

    private static final class Product implements Placer {
        private final PartitionScheduler mScheduler;
        private final Map<VmId, Integer> mNumbers = new HashMap<>();

        Product(List<VmDescription> vms) {
            mScheduler =
                    new PartitionScheduler(
                            SchedulerSettings.defaults(),
                            new ManualClock(),
                            RandomSource.XO_SHI_RO_256_PP.create(SEED));
            for (VmDescription vm : vms) {
                mNumbers.put(vm.id(), mNumbers.size());
                mScheduler.putVm(vm);
            }
        }

        @Override
        public int place(PendingTask task) {
            mScheduler.enqueue(task);
            List<SchedulingDecision> decisions = mScheduler.schedule(1);
            if (!decisions.isEmpty()
                    && decisions.getFirst() instanceof SchedulingDecision.Place place) {
                return mNumbers.get(place.vm());
            }
            mScheduler.dequeue(task.id());
            return -1;
        }

        @Override
        public void release(PendingTask task, int vm) {
            mScheduler.release(task.id());
        }
    }

    private record Running(PendingTask task, int vm, long until) {}

    /** Sums over the measured states. */
    private static final class Totals {
        private int mStates;
        private double mStranded;
        private double mStrandedMemory;
        private double mBound;
        private double mAcceleratorsUsed;
        private double mCpuUsed;

        void add(List<VmDescription> vms, Resources[] free) {
            mStates++;
            Resources sum = Resources.NONE;
            for (int i = 0; i < free.length; i++) {
                Resources left = free[i];
                long usable =
                        Math.min(
                                left.milliCpu() / ONE_ACCELERATOR.milliCpu(),
                                left.memoryMb() / ONE_ACCELERATOR.memoryMb());
                mStranded += Math.max(0, left.accelerators() - usable);
                mStrandedMemory += left.milliCpu() < SMALLEST_CPU ? left.memoryMb() : 0;
                mAcceleratorsUsed += vms.get(i).capacity().accelerators() - left.accelerators();
                mCpuUsed += vms.get(i).capacity().milliCpu() - left.milliCpu();
                sum = sum.plus(left);
            }
            long usable =
                    Math.min(
                            sum.milliCpu() / ONE_ACCELERATOR.milliCpu(),
                            sum.memoryMb() / ONE_ACCELERATOR.memoryMb());
            mBound += Math.max(0, sum.accelerators() - usable);
        }
    }

    @Override
    public String name() {
        return "placement.quality";
    }

    @Override
    public void run(BenchmarkReport report) {
        List<VmDescription> vms = new FleetModel(SEED).vms(WORKERS);
        measure(vms, new Product(vms), null, report);
        measure(vms, new FirstFit(vms), "first-fit", report);
    }

    private void measure(
            List<VmDescription> vms, Placer placer, String baseline, BenchmarkReport report) {
        UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(SEED);
        PriorityQueue<Running> running =
                new PriorityQueue<>((a, b) -> Long.compare(a.until(), b.until()));
        Resources[] free = vms.stream().map(VmDescription::capacity).toArray(Resources[]::new);
        Totals totals = new Totals();
        int[] dropped = new int[2];
        for (int step = 0; step < STEPS; step++) {
            while (!running.isEmpty() && running.peek().until() <= step) {
                Running ended = running.poll();
                free[ended.vm()] = free[ended.vm()].plus(ended.task().resources());
                placer.release(ended.task(), ended.vm());
            }
            PendingTask task = task(step, random);
            long life = (long) (-MEAN_LIFE * Math.log(1 - random.nextDouble()));
            int vm = placer.place(task);
            if (vm >= 0) {
                free[vm] = free[vm].minus(task.resources());
                running.add(new Running(task, vm, step + 1 + life));
            } else if (step >= MEASURE_FROM) {
                dropped[task.resources().accelerators() > 0 ? 1 : 0]++;
            }
            if (step >= MEASURE_FROM && step % MEASURE_EVERY == 0) {
                totals.add(vms, free);
            }
        }
        report(totals, dropped, baseline, report);
    }

    private static PendingTask task(int step, UniformRandomProvider random) {
        Resources resources;
        if (random.nextDouble() < ACCELERATOR_SHARE) {
            int count = random.nextInt(10) < 7 ? 1 : 2 << random.nextInt(2);
            resources = ONE_ACCELERATOR.times(count);
        } else {
            resources =
                    new Resources(
                            500L * (1 + random.nextInt(8)), 1_024L * (1 + random.nextInt(18)), 0);
        }
        return new PendingTask(
                new TaskId(new JobId("job" + step), 0),
                1,
                "team",
                JobKind.BATCH,
                "batch",
                resources,
                0,
                false,
                step);
    }

    private void report(Totals totals, int[] dropped, String baseline, BenchmarkReport report) {
        String input =
                "seed " + SEED + ", " + WORKERS + " workers, " + STEPS + " tasks, mean life 40000";
        double states = totals.mStates;
        String[] names = {
            "strandedAccelerators",
            "strandedAccelerators.lowerBound",
            "strandedMemory",
            "acceleratorsUsed",
            "coresUsed",
            "droppedAcceleratorTasks",
            "droppedOtherTasks"
        };
        String[] units = {"accelerators", "accelerators", "GiB", "accelerators", "cores"};
        double[] values = {
            totals.mStranded / states,
            totals.mBound / states,
            totals.mStrandedMemory / states / 1_024,
            totals.mAcceleratorsUsed / states,
            totals.mCpuUsed / states / 1_000,
            dropped[1],
            dropped[0]
        };
        List<String> unitList = new ArrayList<>(Arrays.asList(units));
        unitList.addAll(List.of("tasks", "tasks"));
        for (int i = 0; i < names.length; i++) {
            report.add(
                    new Figure(
                            name() + "." + names[i],
                            values[i],
                            unitList.get(i),
                            null,
                            baseline,
                            input));
        }
    }
}
