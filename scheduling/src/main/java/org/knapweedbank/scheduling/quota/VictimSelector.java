package org.knapweedbank.scheduling.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.knapweedbank.model.Resources;
import org.knapweedbank.scheduling.placement.CapacityIndex;
import org.knapweedbank.scheduling.placement.CapacityLedger;
import org.knapweedbank.scheduling.placement.DataCentreCapacity;
import org.knapweedbank.scheduling.placement.LedgerTask;
import org.knapweedbank.scheduling.placement.VmSlot;
import org.knapweedbank.time.Clock;

/** Chooses few and cheap batch tasks whose end frees enough capacity of one VM. */
public final class VictimSelector {
    /** VMs of each data centre that are compared. */
    private static final int CANDIDATES = 8;

    /** Cost of each victim, whatever it is; fewer victims are preferred to younger ones. */
    private static final double BASE_COST = 1;

    /** Additional cost of a victim whose team is within its quota. */
    private static final double WITHIN_QUOTA_COST = 4;

    /** Age at which a victim costs as much more as {@link #BASE_COST}. */
    private static final double AGE_SCALE_NANOS = 3_600e9;

    /** Largest additional cost for age, so that old tasks are not safe for ever. */
    private static final double MAX_AGE_COST = 2;

    /**
     * Tasks to end on a VM.
     *
     * @param slot the VM
     * @param victims the tasks
     * @param cost sum of their costs
     */
    public record Choice(VmSlot slot, List<LedgerTask> victims, double cost) {}

    private final CapacityLedger mLedger;
    private final Predicate<String> mOverQuota;
    private final Clock mClock;
    private final VmSlot[] mFound = new VmSlot[CANDIDATES];

    /**
     * Creates a selector.
     *
     * @param ledger the ledger
     * @param overQuota tells whether a team holds more than it deserves
     * @param clock source of time
     */
    public VictimSelector(CapacityLedger ledger, Predicate<String> overQuota, Clock clock) {
        mLedger = ledger;
        mOverQuota = overQuota;
        mClock = clock;
    }

    /**
     * Chooses a VM and the tasks to end on it.
     *
     * @param need resources that must become available
     * @param except VM that is not considered, or null
     * @return the choice, or null if no VM has enough preemptible tasks
     */
    public Choice choose(Resources need, VmSlot except) {
        Choice best = null;
        for (DataCentreCapacity dataCentre : mLedger.dataCentres()) {
            int count = CapacityIndex.collectPreemptible(dataCentre, need, mFound);
            for (int i = 0; i < count; i++) {
                if (mFound[i] != except) {
                    Choice choice = victims(mFound[i], need);
                    best =
                            choice != null && (best == null || choice.cost() < best.cost())
                                    ? choice
                                    : best;
                }
            }
        }
        return best;
    }

    private Choice victims(VmSlot slot, Resources need) {
        List<LedgerTask> tasks =
                new ArrayList<>(slot.tasks().stream().filter(LedgerTask::preemptible).toList());
        tasks.sort(Comparator.comparingDouble(this::cost).thenComparing(task -> task.task().id()));
        Resources available = slot.available();
        for (LedgerTask task : tasks) {
            if (need.fitsIn(available.plus(task.reserved()))) {
                return new Choice(slot, List.of(task), cost(task));
            }
        }
        return several(slot, need, tasks, available);
    }

    /** Takes victims in order of cost until enough is free, then spares those not needed. */
    private Choice several(
            VmSlot slot, Resources need, List<LedgerTask> tasks, Resources available) {
        List<LedgerTask> taken = new ArrayList<>();
        Resources sum = available;
        for (LedgerTask task : tasks) {
            if (need.fitsIn(sum)) {
                break;
            }
            taken.add(task);
            sum = sum.plus(task.reserved());
        }
        if (!need.fitsIn(sum)) {
            return null;
        }
        for (int i = taken.size() - 1; i >= 0; i--) {
            Resources without = sum.minus(taken.get(i).reserved());
            if (need.fitsIn(without)) {
                sum = without;
                taken.remove(i);
            }
        }
        return new Choice(slot, taken, taken.stream().mapToDouble(this::cost).sum());
    }

    private double cost(LedgerTask task) {
        double age = (mClock.monotonicNanos() - task.sinceNanos()) / AGE_SCALE_NANOS;
        return BASE_COST
                + Math.min(MAX_AGE_COST, age)
                + (mOverQuota.test(task.task().team()) ? 0 : WITHIN_QUOTA_COST);
    }
}
