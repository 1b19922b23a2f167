package org.knapweedbank.scheduling.quota;

import org.knapweedbank.model.Resources;
import org.knapweedbank.scheduling.PendingTask;
import org.knapweedbank.scheduling.placement.VmState;

/** Capacity of a VM that is reserved for an urgent task while the preempted tasks are ending. */
public final class Reservation {
    private final PendingTask mTask;
    private final Resources mNeed;
    private final VmState mVm;
    private final long mCreatedNanos;
    private final int mRound;
    private boolean mMayFitElsewhere;

    /**
     * Creates a reservation.
     *
     * @param task the urgent task
     * @param need reserved capacity
     * @param vm VM on which the capacity is reserved
     * @param createdNanos monotonic time of the preemption decision in nanoseconds
     * @param round number of VMs on which victims have been preempted for the task, from 1
     */
    public Reservation(PendingTask task, Resources need, VmState vm, long createdNanos, int round) {
        mTask = task;
        mNeed = need;
        mVm = vm;
        mCreatedNanos = createdNanos;
        mRound = round;
    }

    /**
     * Returns the urgent task.
     *
     * @return the task
     */
    public PendingTask task() {
        return mTask;
    }

    /**
     * Returns the reserved capacity.
     *
     * @return the capacity
     */
    public Resources need() {
        return mNeed;
    }

    /**
     * Returns the VM on which the capacity is reserved.
     *
     * @return the VM
     */
    public VmState vm() {
        return mVm;
    }

    /**
     * Returns the time of the preemption decision.
     *
     * @return monotonic time in nanoseconds
     */
    public long createdNanos() {
        return mCreatedNanos;
    }

    /**
     * Returns the number of VMs on which victims have been preempted for the task.
     *
     * @return the number, from 1
     */
    public int round() {
        return mRound;
    }

    /**
     * Returns whether enough victims have ended for the task to start.
     *
     * @return true if the VM has the reserved capacity free and accepts tasks
     */
    public boolean victimsEnded() {
        return mVm.placeable() && mNeed.fitsIn(mVm.free());
    }

    /**
     * Records that a VM has gained capacity. If the task fits on another VM, it may be placed there
     * without waiting for its victims.
     *
     * @param vm VM that has gained capacity
     */
    public void noteCapacityGain(VmState vm) {
        mMayFitElsewhere |= vm != mVm && vm.placeable() && mNeed.fitsIn(vm.available());
    }

    /**
     * Returns whether the task may fit on another VM, and clears this flag.
     *
     * @return true if {@link #noteCapacityGain} has been called with another VM that fits since the
     *     last call
     */
    public boolean takeMayFitElsewhere() {
        boolean mayFitElsewhere = mMayFitElsewhere;
        mMayFitElsewhere = false;
        return mayFitElsewhere;
    }
}
