package org.knapweedbank.jobs.owner;

import org.knapweedbank.jobs.StepSpec;
import org.knapweedbank.model.Resources;

/**
 * Resources of a VM that no task uses and no moving task claims.
 *
 * @param reservable resources that are not reserved
 * @param fillerMilliCpu processor time that fillers could use, in thousandths of a core; negative
 *     if the fillers of the VM request more than there is
 */
record FreeRoom(Resources reservable, double fillerMilliCpu) {
    /** A VM that takes no task. */
    static final FreeRoom NONE = new FreeRoom(new Resources(-1, -1, -1), -1);

    /** Returns the room on a VM that has a worker. */
    static FreeRoom of(Vm vm) {
        return new FreeRoom(
                vm.unreserved().minus(vm.claimed()),
                vm.spareMilliCpu() - vm.milliCpuClaimed() + vm.unusedServingMilliCpu());
    }

    /** Returns the room that is free in both states of a VM. */
    FreeRoom min(FreeRoom other) {
        Resources first = reservable;
        Resources second = other.reservable;
        return new FreeRoom(
                new Resources(
                        Math.min(first.milliCpu(), second.milliCpu()),
                        Math.min(first.memoryMb(), second.memoryMb()),
                        Math.min(first.accelerators(), second.accelerators())),
                Math.min(fillerMilliCpu, other.fillerMilliCpu));
    }

    /** Returns whether a task fits, a filler with the processor time that it requires. */
    boolean holds(StepSpec spec, FillerRequirement requirement) {
        if (!spec.reservation().fitsIn(reservable)) {
            return false;
        }
        double needed = spec.perTask().milliCpu() * requirement.mMinSpareShare;
        return !spec.traits().filler() || needed <= fillerMilliCpu;
    }

    /** Returns the room that is left once a task has started. */
    FreeRoom minus(StepSpec spec) {
        return new FreeRoom(
                reservable.minus(spec.reservation()), fillerMilliCpu - spec.perTask().milliCpu());
    }
}
