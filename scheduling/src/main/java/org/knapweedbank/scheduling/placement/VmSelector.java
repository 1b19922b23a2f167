package org.knapweedbank.scheduling.placement;

import java.util.function.BiPredicate;
import java.util.function.ToIntFunction;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.scheduling.PendingTask;

/**
 * Chooses a VM for a task among a bounded number of candidates from the indexes. Batch tasks are
 * packed; replicas of a service are spread over data centres, racks and VMs.
 */
public final class VmSelector {
    /** Candidates of each data centre that are compared for a task. */
    static final int CANDIDATES_PER_DATA_CENTRE = 12;

    /** Candidates for each number of spare accelerators, for tasks that need none. */
    private static final int CANDIDATES_PER_ACCELERATOR_LEVEL = 4;

    private static final int MAX_CANDIDATES = 64;

    /**
     * Cost of one accelerator that can no longer be used. Above any sum of the other costs, since
     * an accelerator is the scarcest resource.
     */
    private static final double STRANDED_ACCELERATOR_COST = 8;

    /** Cost of the learned interference of one pair, against 1 for an empty VM's spare capacity. */
    private static final double INTERFERENCE_COST = 3;

    /** Cost of a VM on which a task of the same job has failed. */
    private static final double FAILED_JOB_COST = 6;

    /** Weight of a new observation in the moving average of needs for one accelerator. */
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
     * @param ledger the ledger
     * @param interferenceCosts interference costs
     * @param recentlyFailedOn tells whether a job has failed on a VM a short time ago
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
     * Chooses a VM with enough available capacity.
     *
     * @param task the task
     * @param need resources to hold
     * @return the VM, or null if no VM has enough
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
        // A VM with many spare accelerators may have processor time that they cannot use, while
        // one with a single spare accelerator may need all it has.
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

    /** Data centre before rack before VM; each step outweighs the sum of the lesser costs. */
    private static double spreadCost(ReplicaCounts replicas, VmState vm, int inDataCentre) {
        return 1e6 * inDataCentre + 1e4 * replicas.inRack(vm) + 1e3 * replicas.onVm(vm);
    }

    /** Cost of the capacity left over: its size, its imbalance and the stranded accelerators. */
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
