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
 * Measures stranded accelerators and memory when batch tasks are submitted one by one, run for a
 * random time and are dropped if they do not fit at once. The scheduler and the first-fit baseline
 * receive the same tasks.
 */
public final class PlacementQuality implements Benchmark {
    private static final long SEED = 20261204;
    private static final int WORKERS = FleetModel.TARGET_WORKERS;

    /** Number of simulated steps; one task is submitted in each. */
    private static final int STEP_COUNT = 150_000;

    /** First step after the warm-up. */
    private static final int FIRST_MEASURED_STEP = 80_000;

    private static final int MEASUREMENT_INTERVAL_STEPS = 500;

    /**
     * Mean runtime of a task in steps; with the task sizes below, the tasks need more resources
     * than the fleet has.
     */
    private static final double MEAN_RUNTIME_STEPS = 40_000;

    private static final double ACCELERATOR_TASK_SHARE = 0.06;

    /** Request of a task with one accelerator. */
    private static final Resources ONE_ACCELERATOR_REQUEST = new Resources(4_000, 16_384, 1);

    /**
     * Least processor request of a task. The free memory of a VM with less free processor time is
     * stranded.
     */
    private static final long SMALLEST_TASK_MILLI_CPU = 500;

    /** Placement algorithm under test. */
    private interface Placer {
        /** Places a task and returns the index of its VM, or -1 if the task does not fit. */
        int place(PendingTask task);

        /** Releases the resources of a task on the VM with the given index. */
        void release(PendingTask task, int vmIndex);
    }

    /** Baseline that places a task on the first VM with enough free resources. */
    private static final class FirstFitPlacer implements Placer {
        private final Resources[] mFreeByVm;

        FirstFitPlacer(List<VmDescription> vms) {
            mFreeByVm = vms.stream().map(VmDescription::capacity).toArray(Resources[]::new);
        }

        @Override
        public int place(PendingTask task) {
            for (int i = 0; i < mFreeByVm.length; i++) {
                if (task.resources().fitsIn(mFreeByVm[i])) {
                    mFreeByVm[i] = mFreeByVm[i].minus(task.resources());
                    return i;
                }
            }
            return -1;
        }

        @Override
        public void release(PendingTask task, int vmIndex) {
            mFreeByVm[vmIndex] = mFreeByVm[vmIndex].plus(task.resources());
        }
    }

    /** Places tasks with the scheduler. */
    private static final class SchedulerPlacer implements Placer {
        private final PartitionScheduler mScheduler;
        private final Map<VmId, Integer> mVmIndexes = new HashMap<>();

        SchedulerPlacer(List<VmDescription> vms) {
            mScheduler =
                    new PartitionScheduler(
                            SchedulerSettings.defaults(),
                            new ManualClock(),
                            RandomSource.XO_SHI_RO_256_PP.create(SEED));
            for (VmDescription vm : vms) {
                mVmIndexes.put(vm.id(), mVmIndexes.size());
                mScheduler.putVm(vm);
            }
        }

        @Override
        public int place(PendingTask task) {
            mScheduler.enqueue(task);
            List<SchedulingDecision> decisions = mScheduler.schedule(1);
            if (!decisions.isEmpty()
                    && decisions.getFirst() instanceof SchedulingDecision.Place place) {
                return mVmIndexes.get(place.vm());
            }
            mScheduler.dequeue(task.id());
            return -1;
        }

        @Override
        public void release(PendingTask task, int vmIndex) {
            mScheduler.release(task.id());
        }
    }

    /**
     * A placed task.
     *
     * @param task the task
     * @param vmIndex index of its VM
     * @param endStep step at which it ends
     */
    private record RunningTask(PendingTask task, int vmIndex, long endStep) {}

    /** Sums of the fragmentation and utilization figures over all samples. */
    private static final class FragmentationTotals {
        private int mSamples;
        private double mStrandedAccelerators;
        private double mStrandedMemoryMb;

        /**
         * Accelerators that no placement could use, because the whole fleet lacks processor time or
         * memory for them.
         */
        private double mStrandedLowerBound;

        private double mAcceleratorsUsed;
        private double mMilliCpuUsed;

        /**
         * Adds the present state of the fleet.
         *
         * @param vms VMs of the fleet
         * @param freeByVm free resources of each VM, in the same order
         */
        void addSample(List<VmDescription> vms, Resources[] freeByVm) {
            mSamples++;
            Resources totalFree = Resources.NONE;
            for (int i = 0; i < freeByVm.length; i++) {
                Resources vmFree = freeByVm[i];
                long usableAccelerators =
                        Math.min(
                                vmFree.milliCpu() / ONE_ACCELERATOR_REQUEST.milliCpu(),
                                vmFree.memoryMb() / ONE_ACCELERATOR_REQUEST.memoryMb());
                mStrandedAccelerators += Math.max(0, vmFree.accelerators() - usableAccelerators);
                mStrandedMemoryMb +=
                        vmFree.milliCpu() < SMALLEST_TASK_MILLI_CPU ? vmFree.memoryMb() : 0;
                mAcceleratorsUsed += vms.get(i).capacity().accelerators() - vmFree.accelerators();
                mMilliCpuUsed += vms.get(i).capacity().milliCpu() - vmFree.milliCpu();
                totalFree = totalFree.plus(vmFree);
            }
            long usableAccelerators =
                    Math.min(
                            totalFree.milliCpu() / ONE_ACCELERATOR_REQUEST.milliCpu(),
                            totalFree.memoryMb() / ONE_ACCELERATOR_REQUEST.memoryMb());
            mStrandedLowerBound += Math.max(0, totalFree.accelerators() - usableAccelerators);
        }
    }

    @Override
    public String name() {
        return "placement.quality";
    }

    @Override
    public void run(BenchmarkReport report) {
        List<VmDescription> vms = new FleetModel(SEED).createVms(WORKERS);
        runAndReport(vms, new SchedulerPlacer(vms), null, report);
        runAndReport(vms, new FirstFitPlacer(vms), "first-fit", report);
    }

    /** Submits all tasks to a placement algorithm and reports the figures. */
    private void runAndReport(
            List<VmDescription> vms, Placer placer, String baseline, BenchmarkReport report) {
        UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(SEED);
        PriorityQueue<RunningTask> running =
                new PriorityQueue<>((a, b) -> Long.compare(a.endStep(), b.endStep()));
        Resources[] freeByVm = vms.stream().map(VmDescription::capacity).toArray(Resources[]::new);
        FragmentationTotals totals = new FragmentationTotals();
        // Dropped tasks without accelerators at index 0, those with accelerators at index 1.
        int[] dropped = new int[2];
        for (int step = 0; step < STEP_COUNT; step++) {
            while (!running.isEmpty() && running.peek().endStep() <= step) {
                RunningTask endedTask = running.poll();
                freeByVm[endedTask.vmIndex()] =
                        freeByVm[endedTask.vmIndex()].plus(endedTask.task().resources());
                placer.release(endedTask.task(), endedTask.vmIndex());
            }
            PendingTask task = randomTask(step, random);
            long runtimeSteps = (long) (-MEAN_RUNTIME_STEPS * Math.log(1 - random.nextDouble()));
            int vmIndex = placer.place(task);
            if (vmIndex >= 0) {
                freeByVm[vmIndex] = freeByVm[vmIndex].minus(task.resources());
                running.add(new RunningTask(task, vmIndex, step + 1 + runtimeSteps));
            } else if (step >= FIRST_MEASURED_STEP) {
                dropped[task.resources().accelerators() > 0 ? 1 : 0]++;
            }
            if (step >= FIRST_MEASURED_STEP && step % MEASUREMENT_INTERVAL_STEPS == 0) {
                totals.addSample(vms, freeByVm);
            }
        }
        report(totals, dropped, baseline, report);
    }

    /** Returns a random task that is submitted in the given step. */
    private static PendingTask randomTask(int step, UniformRandomProvider random) {
        Resources resources;
        if (random.nextDouble() < ACCELERATOR_TASK_SHARE) {
            int count = random.nextInt(10) < 7 ? 1 : 2 << random.nextInt(2);
            resources = ONE_ACCELERATOR_REQUEST.times(count);
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

    private void report(
            FragmentationTotals totals, int[] dropped, String baseline, BenchmarkReport report) {
        String input =
                "seed "
                        + SEED
                        + ", "
                        + WORKERS
                        + " workers, "
                        + STEP_COUNT
                        + " tasks, mean life 40000";
        double samples = totals.mSamples;
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
            totals.mStrandedAccelerators / samples,
            totals.mStrandedLowerBound / samples,
            totals.mStrandedMemoryMb / samples / 1_024,
            totals.mAcceleratorsUsed / samples,
            totals.mMilliCpuUsed / samples / 1_000,
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
