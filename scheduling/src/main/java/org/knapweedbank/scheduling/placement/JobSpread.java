package org.knapweedbank.scheduling.placement;

import java.util.HashMap;
import java.util.Map;

/** Replicas of one service in each data centre, rack and VM. */
final class JobSpread {
    static final JobSpread EMPTY = new JobSpread();

    private final Map<DataCentreCapacity, Integer> mByDataCentre = new HashMap<>();
    private final Map<String, Integer> mByRack = new HashMap<>();
    private final Map<VmSlot, Integer> mByVm = new HashMap<>();

    /** Adds {@code change} replicas on a VM. */
    void add(VmSlot slot, int change) {
        mByVm.merge(slot, change, JobSpread::sum);
        if (slot.dataCentre() != null) {
            mByDataCentre.merge(slot.dataCentre(), change, JobSpread::sum);
            mByRack.merge(slot.rackKey(), change, JobSpread::sum);
        }
    }

    private static Integer sum(int count, int change) {
        return count + change == 0 ? null : Integer.valueOf(count + change);
    }

    boolean isEmpty() {
        return mByVm.isEmpty();
    }

    int inDataCentre(DataCentreCapacity dataCentre) {
        return mByDataCentre.getOrDefault(dataCentre, 0);
    }

    int inRack(VmSlot slot) {
        return mByRack.getOrDefault(slot.rackKey(), 0);
    }

    int onVm(VmSlot slot) {
        return mByVm.getOrDefault(slot, 0);
    }
}
