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

/** Chooses few and cheap batch tasks whose end frees enough capacity of one VM. */
public final class VictimSelector {
    /** VMs of each data centre that are compared. */
    private static final int CANDIDATES_PER_DATA_CENTRE = 8;

    /** Cost of each victim, whatever it is; fewer victims are preferred to younger ones. */
    private static final double BASE_COST = 1;

    /** Additional cost of a victim whose team is within its quota. */
    private static final double WITHIN_QUOTA_COST = 4;

    /** Age at which a victim costs as much more as {@link #BASE_COST}. */
    private static final double AGE_PER_COST_NANOS = 3_600e9;

    /** Largest additional cost for age, so that old tasks are not safe for ever. */
    private static final double MAX_AGE_COST = 2;

    /**
     * Tasks to end on a VM.
     *
     * @param vm the VM
     * @param victims the tasks
     * @param cost sum of their costs
     */
    public record Selection(VmState vm, List<TaskAllocation> victims, double cost) {}

    private final CapacityLedger mLedger;
    private final Predicate<String> mTeamOverQuota;
    private final Clock mClock;
    private final VmState[] mCandidates = new VmState[CANDIDATES_PER_DATA_CENTRE];

    /**
     * Creates a selector.
     *
     * @param ledger the ledger
     * @param teamOverQuota tells whether a team holds more than it deserves
     * @param clock source of time
     */
    public VictimSelector(CapacityLedger ledger, Predicate<String> teamOverQuota, Clock clock) {
        mLedger = ledger;
        mTeamOverQuota = teamOverQuota;
        mClock = clock;
    }

    /**
     * Chooses a VM and the tasks to end on it.
     *
     * @param need resources that must become available
     * @param excluded VM that is not considered, or null
     * @return the choice, or null if no VM has enough preemptible tasks
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

    /** Takes victims in order of cost until enough is free, then spares those not needed. */
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
