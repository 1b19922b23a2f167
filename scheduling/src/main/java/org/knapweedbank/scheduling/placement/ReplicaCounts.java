package org.knapweedbank.scheduling.placement;

import java.util.HashMap;
import java.util.Map;

/** Number of replicas of one service in each data centre, in each rack and on each VM. */
final class ReplicaCounts {
    static final ReplicaCounts EMPTY = new ReplicaCounts();

    private final Map<DataCentreCapacity, Integer> mByDataCentre = new HashMap<>();
    private final Map<String, Integer> mByRack = new HashMap<>();
    private final Map<VmState, Integer> mByVm = new HashMap<>();

    /** Changes the number of replicas on a VM by {@code change}. */
    void add(VmState vm, int change) {
        mByVm.merge(vm, change, ReplicaCounts::addOrNull);
        if (vm.dataCentre() != null) {
            mByDataCentre.merge(vm.dataCentre(), change, ReplicaCounts::addOrNull);
            mByRack.merge(vm.rackKey(), change, ReplicaCounts::addOrNull);
        }
    }

    private static Integer addOrNull(int count, int change) {
        return count + change == 0 ? null : Integer.valueOf(count + change);
    }

    boolean isEmpty() {
        return mByVm.isEmpty();
    }

    int inDataCentre(DataCentreCapacity dataCentre) {
        return mByDataCentre.getOrDefault(dataCentre, 0);
    }

    int inRack(VmState vm) {
        return mByRack.getOrDefault(vm.rackKey(), 0);
    }

    int onVm(VmState vm) {
        return mByVm.getOrDefault(vm, 0);
    }
}
