package org.knapweedbank.scheduling.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.knapweedbank.model.Resources;
import org.knapweedbank.scheduling.placement.CapacityIndex;
import org.knapweedbank.scheduling.placement.CapacityLedger;
import org.knapweedbank.scheduling.placement.DataCentreCapacity;
import org.knapweedbank.scheduling.placement.TaskAllocation;
import org.knapweedbank.scheduling.placement.VmState;
import org.knapweedbank.time.Clock;

/**
 * Selects batch tasks to preempt on one VM so that enough capacity becomes available. Prefers few
 * and cheap victims.
 */
public final class VictimSelector {
    /** Maximum number of VMs of each data centre that are compared. */
    private static final int CANDIDATES_PER_DATA_CENTRE = 8;

    /** Cost of every victim; makes one victim cheaper than several younger ones. */
    private static final double BASE_COST = 1;

    /** Additional cost of a victim whose team is within its quota. */
    private static final double WITHIN_QUOTA_COST = 4;

    /** Age that increases the cost of a victim by 1. */
    private static final double AGE_PER_COST_NANOS = 3_600e9;

    /** Upper bound on the cost for age, so that old tasks can still be preempted. */
    private static final double MAX_AGE_COST = 2;

    /**
     * Tasks to preempt on a VM.
     *
     * @param vm VM that runs the tasks
     * @param victims tasks to preempt
     * @param cost sum of the costs of the victims
     */
    public record Selection(VmState vm, List<TaskAllocation> victims, double cost) {}

    private final CapacityLedger mLedger;
    private final Predicate<String> mTeamOverQuota;
    private final Clock mClock;
    private final VmState[] mCandidates = new VmState[CANDIDATES_PER_DATA_CENTRE];

    /**
     * Creates a selector.
     *
     * @param ledger capacity ledger of the partition
     * @param teamOverQuota returns whether a team has more resources allocated than it deserves
     * @param clock source of time
     */
    public VictimSelector(CapacityLedger ledger, Predicate<String> teamOverQuota, Clock clock) {
        mLedger = ledger;
        mTeamOverQuota = teamOverQuota;
        mClock = clock;
    }

    /**
     * Selects a VM and the tasks to preempt on it.
     *
     * @param need resources that must become available
     * @param excluded VM that must not be selected, or null
     * @return the cheapest selection, or null if preemption frees enough capacity on no VM
     */
    public Selection select(Resources need, VmState excluded) {
        Selection best = null;
        for (DataCentreCapacity dataCentre : mLedger.dataCentres()) {
            int count = CapacityIndex.collectPreemptible(dataCentre, need, mCandidates);
            for (int i = 0; i < count; i++) {
                if (mCandidates[i] != excluded) {
                    Selection selection = selectOnVm(mCandidates[i], need);
                    best =
                            selection != null && (best == null || selection.cost() < best.cost())
                                    ? selection
                                    : best;
                }
            }
        }
        return best;
    }

    private Selection selectOnVm(VmState vm, Resources need) {
        List<TaskAllocation> allocations =
                new ArrayList<>(
                        vm.allocations().stream().filter(TaskAllocation::preemptible).toList());
        allocations.sort(
                Comparator.comparingDouble(this::cost)
                        .thenComparing(allocation -> allocation.task().id()));
        Resources available = vm.available();
        for (TaskAllocation allocation : allocations) {
            if (need.fitsIn(available.plus(allocation.reserved()))) {
                return new Selection(vm, List.of(allocation), cost(allocation));
            }
        }
        return selectSeveral(vm, need, allocations, available);
    }

    /**
     * Adds victims by ascending cost until enough capacity is available, then removes those that
     * are not needed.
     */
    private Selection selectSeveral(
            VmState vm, Resources need, List<TaskAllocation> allocations, Resources available) {
        List<TaskAllocation> victims = new ArrayList<>();
        Resources reclaimable = available;
        for (TaskAllocation allocation : allocations) {
            if (need.fitsIn(reclaimable)) {
                break;
            }
            victims.add(allocation);
            reclaimable = reclaimable.plus(allocation.reserved());
        }
        if (!need.fitsIn(reclaimable)) {
            return null;
        }
        for (int i = victims.size() - 1; i >= 0; i--) {
            Resources without = reclaimable.minus(victims.get(i).reserved());
            if (need.fitsIn(without)) {
                reclaimable = without;
                victims.remove(i);
            }
        }
        return new Selection(vm, victims, victims.stream().mapToDouble(this::cost).sum());
    }

    private double cost(TaskAllocation allocation) {
        double age = (mClock.monotonicNanos() - allocation.allocatedNanos()) / AGE_PER_COST_NANOS;
        return BASE_COST
                + Math.min(MAX_AGE_COST, age)
                + (mTeamOverQuota.test(allocation.task().team()) ? 0 : WITHIN_QUOTA_COST);
    }
}
