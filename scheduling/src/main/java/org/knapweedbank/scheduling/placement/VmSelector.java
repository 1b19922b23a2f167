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
    static final int CANDIDATES = 12;

    /** Candidates for each number of spare accelerators, for tasks that need none. */
    private static final int PLANE_CANDIDATES = 4;

    private static final int MAX_CANDIDATES = 64;

    /**
     * Cost of one accelerator that can no longer be used. Above any sum of the other costs, since
     * an accelerator is the scarcest resource.
     */
    private static final double STRANDED_COST = 8;

    /** Cost of the learned interference of one pair, against 1 for an empty VM's spare capacity. */
    private static final double INTERFERENCE_COST = 3;

    /** Cost of a VM on which a task of the same job has failed. */
    private static final double FAILED_COST = 6;

    /** Weight of a new observation in the moving average of needs for one accelerator. */
    private static final double NEED_WEIGHT = 0.02;

    private final CapacityLedger mLedger;
    private final PairCosts mPairCosts;
    private final BiPredicate<JobId, VmSlot> mFailedOn;
    private final VmSlot[] mFound = new VmSlot[MAX_CANDIDATES];
    private double mCpuPerAccelerator = 4_000;
    private double mMemoryPerAccelerator = 16_384;

    /**
     * Creates a selector.
     *
     * @param ledger the ledger
     * @param pairCosts interference costs
     * @param failedOn tells whether a job has failed on a VM a short time ago
     */
    public VmSelector(
            CapacityLedger ledger, PairCosts pairCosts, BiPredicate<JobId, VmSlot> failedOn) {
        mLedger = ledger;
        mPairCosts = pairCosts;
        mFailedOn = failedOn;
    }

    /**
     * Chooses a VM with enough available capacity.
     *
     * @param task the task
     * @param need resources to hold
     * @return the VM, or null if no VM has enough
     */
    public VmSlot select(PendingTask task, Resources need) {
        int taskClass = mPairCosts.numberOf(task.taskClass());
        VmSlot slot =
                task.kind() == JobKind.SERVICE
                        ? selectSpread(task, need, taskClass)
                        : selectPacked(task, need, taskClass);
        if (slot != null && need.accelerators() > 0) {
            learnNeeds(need);
        }
        return slot;
    }

    private VmSlot selectPacked(PendingTask task, Resources need, int taskClass) {
        if (need.accelerators() > 0) {
            return cheapest(
                    task,
                    need,
                    taskClass,
                    index -> index.collect(need, true, mFound, 0, CANDIDATES));
        }
        VmSlot exact =
                cheapest(
                        task,
                        need,
                        taskClass,
                        index -> index.collectExact(need, mFound, CANDIDATES));
        // A VM with many spare accelerators may have processor time that they cannot use, while
        // one with a single spare accelerator may need all it has.
        return exact != null
                ? exact
                : cheapest(
                        task,
                        need,
                        taskClass,
                        index -> index.collectFromEachPlane(need, mFound, PLANE_CANDIDATES));
    }

    private VmSlot cheapest(
            PendingTask task, Resources need, int taskClass, ToIntFunction<CapacityIndex> collect) {
        VmSlot best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (DataCentreCapacity dataCentre : mLedger.dataCentres()) {
            int count = collect.applyAsInt(dataCentre.free());
            for (int i = 0; i < count; i++) {
                double cost = packingCost(mFound[i], need) + taskCost(mFound[i], task, taskClass);
                if (cost < bestCost) {
                    best = mFound[i];
                    bestCost = cost;
                }
            }
        }
        return best;
    }

    private VmSlot selectSpread(PendingTask task, Resources need, int taskClass) {
        JobSpread spread = mLedger.spread(task.id().job());
        VmSlot best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (DataCentreCapacity dataCentre : mLedger.dataCentres()) {
            int inDataCentre = spread.inDataCentre(dataCentre);
            for (boolean tight : new boolean[] {true, false}) {
                int count = dataCentre.free().collect(need, tight, mFound, 0, CANDIDATES);
                for (int i = 0; i < count; i++) {
                    double cost =
                            spreadCost(spread, mFound[i], inDataCentre)
                                    + packingCost(mFound[i], need)
                                    + taskCost(mFound[i], task, taskClass);
                    if (cost < bestCost) {
                        best = mFound[i];
                        bestCost = cost;
                    }
                }
            }
        }
        return best;
    }

    /** Data centre before rack before VM; each step outweighs the sum of the lesser costs. */
    private static double spreadCost(JobSpread spread, VmSlot slot, int inDataCentre) {
        return 1e6 * inDataCentre + 1e4 * spread.inRack(slot) + 1e3 * spread.onVm(slot);
    }

    /** Cost of the capacity left over: its size, its imbalance and the stranded accelerators. */
    private double packingCost(VmSlot slot, Resources need) {
        Resources available = slot.available();
        Resources capacity = slot.capacity();
        Resources left = available.minus(need);
        double leftCpu = (double) left.milliCpu() / Math.max(1, capacity.milliCpu());
        double leftMemory = (double) left.memoryMb() / Math.max(1, capacity.memoryMb());
        double strandedMore = stranded(left) - stranded(available);
        return (leftCpu + leftMemory) / 2
                + Math.abs(leftCpu - leftMemory)
                + STRANDED_COST * Math.max(0, strandedMore);
    }

    private double stranded(Resources left) {
        if (left.accelerators() == 0) {
            return 0;
        }
        double usable =
                Math.min(
                        left.milliCpu() / mCpuPerAccelerator,
                        left.memoryMb() / mMemoryPerAccelerator);
        return Math.max(0, left.accelerators() - usable);
    }

    private double taskCost(VmSlot slot, PendingTask task, int taskClass) {
        boolean service = task.kind() == JobKind.SERVICE;
        ClassCounts others = service ? slot.batchClasses() : slot.serviceClasses();
        double sum = 0;
        for (int i = 0; i < others.size(); i++) {
            sum +=
                    service
                            ? mPairCosts.cost(taskClass, others.classAt(i))
                            : mPairCosts.cost(others.classAt(i), taskClass);
        }
        return INTERFERENCE_COST * sum + (mFailedOn.test(task.id().job(), slot) ? FAILED_COST : 0);
    }

    private void learnNeeds(Resources need) {
        double cpu = (double) need.milliCpu() / need.accelerators();
        double memory = (double) need.memoryMb() / need.accelerators();
        mCpuPerAccelerator += NEED_WEIGHT * (cpu - mCpuPerAccelerator);
        mMemoryPerAccelerator += NEED_WEIGHT * (memory - mMemoryPerAccelerator);
    }
}
