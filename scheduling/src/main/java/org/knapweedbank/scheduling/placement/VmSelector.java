package org.knapweedbank.scheduling.placement;

import java.util.function.BiPredicate;
import java.util.function.ToIntFunction;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.scheduling.PendingTask;

/**
 * Selects a VM for a task from a bounded number of candidates. Batch tasks are packed onto few VMs;
 * replicas of a service are spread over data centres, racks and VMs.
 */
public final class VmSelector {
    /** Maximum number of candidates from each data centre. */
    static final int CANDIDATES_PER_DATA_CENTRE = 12;

    /**
     * Maximum number of candidates for each accelerator level, for tasks that need no accelerator.
     */
    private static final int CANDIDATES_PER_ACCELERATOR_LEVEL = 4;

    private static final int MAX_CANDIDATES = 64;

    /**
     * Cost of an accelerator that becomes unusable because the VM lacks CPU or memory for it.
     * Larger than the sum of all other costs of packing, because accelerators are the scarcest
     * resource.
     */
    private static final double STRANDED_ACCELERATOR_COST = 8;

    /**
     * Cost of the maximum learned interference of one pair; for comparison, the unused capacity of
     * an empty VM costs 1.
     */
    private static final double INTERFERENCE_COST = 3;

    /** Cost of a VM on which a task of the same job has recently failed. */
    private static final double FAILED_JOB_COST = 6;

    /** Weight of a new task in the moving average of CPU and memory per accelerator. */
    private static final double AVERAGE_WEIGHT = 0.02;

    private final CapacityLedger mLedger;
    private final InterferenceCosts mInterferenceCosts;
    private final BiPredicate<JobId, VmState> mRecentlyFailedOn;
    private final VmState[] mCandidates = new VmState[MAX_CANDIDATES];
    private double mMillicoresPerAccelerator = 4_000;
    private double mMemoryMbPerAccelerator = 16_384;

    /**
     * Creates a selector.
     *
     * @param ledger capacity ledger of the partition
     * @param interferenceCosts learned interference of task classes
     * @param recentlyFailedOn returns whether a job has recently failed on a VM
     */
    public VmSelector(
            CapacityLedger ledger,
            InterferenceCosts interferenceCosts,
            BiPredicate<JobId, VmState> recentlyFailedOn) {
        mLedger = ledger;
        mInterferenceCosts = interferenceCosts;
        mRecentlyFailedOn = recentlyFailedOn;
    }

    /**
     * Selects a VM that has the required resources available.
     *
     * @param task the task
     * @param need required resources
     * @return the VM, or null if no VM has the resources available
     */
    public VmState select(PendingTask task, Resources need) {
        int taskClass = mInterferenceCosts.classNumber(task.taskClass());
        VmState vm =
                task.kind() == JobKind.SERVICE
                        ? selectSpread(task, need, taskClass)
                        : selectPacked(task, need, taskClass);
        if (vm != null && need.accelerators() > 0) {
            updateNeedsPerAccelerator(need);
        }
        return vm;
    }

    private VmState selectPacked(PendingTask task, Resources need, int taskClass) {
        if (need.accelerators() > 0) {
            return selectCheapest(
                    task,
                    need,
                    taskClass,
                    index -> index.collect(need, true, mCandidates, 0, CANDIDATES_PER_DATA_CENTRE));
        }
        VmState exact =
                selectCheapest(
                        task,
                        need,
                        taskClass,
                        index -> index.collectExact(need, mCandidates, CANDIDATES_PER_DATA_CENTRE));
        // A VM with many spare accelerators may have CPU that these cannot use, while a VM with a
        // single spare accelerator may need all of its CPU for it.
        return exact != null
                ? exact
                : selectCheapest(
                        task,
                        need,
                        taskClass,
                        index ->
                                index.collectFromEachAcceleratorLevel(
                                        need, mCandidates, CANDIDATES_PER_ACCELERATOR_LEVEL));
    }

    private VmState selectCheapest(
            PendingTask task, Resources need, int taskClass, ToIntFunction<CapacityIndex> collect) {
        VmState best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (DataCentreCapacity dataCentre : mLedger.dataCentres()) {
            int count = collect.applyAsInt(dataCentre.freeIndex());
            for (int i = 0; i < count; i++) {
                double cost =
                        packingCost(mCandidates[i], need)
                                + taskCost(mCandidates[i], task, taskClass);
                if (cost < bestCost) {
                    best = mCandidates[i];
                    bestCost = cost;
                }
            }
        }
        return best;
    }

    private VmState selectSpread(PendingTask task, Resources need, int taskClass) {
        ReplicaCounts replicas = mLedger.replicasOf(task.id().job());
        VmState best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (DataCentreCapacity dataCentre : mLedger.dataCentres()) {
            int inDataCentre = replicas.inDataCentre(dataCentre);
            for (boolean bestFit : new boolean[] {true, false}) {
                int count =
                        dataCentre
                                .freeIndex()
                                .collect(need, bestFit, mCandidates, 0, CANDIDATES_PER_DATA_CENTRE);
                for (int i = 0; i < count; i++) {
                    double cost =
                            spreadCost(replicas, mCandidates[i], inDataCentre)
                                    + packingCost(mCandidates[i], need)
                                    + taskCost(mCandidates[i], task, taskClass);
                    if (cost < bestCost) {
                        best = mCandidates[i];
                        bestCost = cost;
                    }
                }
            }
        }
        return best;
    }

    /**
     * Returns the cost of a lack of spread. Replicas in the same data centre count more than those
     * in the same rack, and these more than those on the same VM; each level outweighs the sum of
     * all lower costs.
     */
    private static double spreadCost(ReplicaCounts replicas, VmState vm, int inDataCentre) {
        return 1e6 * inDataCentre + 1e4 * replicas.inRack(vm) + 1e3 * replicas.onVm(vm);
    }

    /**
     * Returns the cost of the capacity that remains unused: its size, its imbalance and the
     * additionally stranded accelerators.
     */
    private double packingCost(VmState vm, Resources need) {
        Resources available = vm.available();
        Resources capacity = vm.capacity();
        Resources remaining = available.minus(need);
        double remainingCpu = (double) remaining.milliCpu() / Math.max(1, capacity.milliCpu());
        double remainingMemory = (double) remaining.memoryMb() / Math.max(1, capacity.memoryMb());
        double additionallyStranded =
                strandedAccelerators(remaining) - strandedAccelerators(available);
        return (remainingCpu + remainingMemory) / 2
                + Math.abs(remainingCpu - remainingMemory)
                + STRANDED_ACCELERATOR_COST * Math.max(0, additionallyStranded);
    }

    private double strandedAccelerators(Resources remaining) {
        if (remaining.accelerators() == 0) {
            return 0;
        }
        double usable =
                Math.min(
                        remaining.milliCpu() / mMillicoresPerAccelerator,
                        remaining.memoryMb() / mMemoryMbPerAccelerator);
        return Math.max(0, remaining.accelerators() - usable);
    }

    private double taskCost(VmState vm, PendingTask task, int taskClass) {
        boolean service = task.kind() == JobKind.SERVICE;
        TaskClassCounts others = service ? vm.batchClasses() : vm.serviceClasses();
        double sum = 0;
        for (int i = 0; i < others.size(); i++) {
            sum +=
                    service
                            ? mInterferenceCosts.cost(taskClass, others.classAt(i))
                            : mInterferenceCosts.cost(others.classAt(i), taskClass);
        }
        return INTERFERENCE_COST * sum
                + (mRecentlyFailedOn.test(task.id().job(), vm) ? FAILED_JOB_COST : 0);
    }

    private void updateNeedsPerAccelerator(Resources need) {
        double cpu = (double) need.milliCpu() / need.accelerators();
        double memory = (double) need.memoryMb() / need.accelerators();
        mMillicoresPerAccelerator += AVERAGE_WEIGHT * (cpu - mMillicoresPerAccelerator);
        mMemoryMbPerAccelerator += AVERAGE_WEIGHT * (memory - mMemoryMbPerAccelerator);
    }
}
