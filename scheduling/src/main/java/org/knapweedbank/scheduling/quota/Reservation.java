package org.knapweedbank.scheduling.quota;

import org.knapweedbank.model.Resources;
import org.knapweedbank.scheduling.PendingTask;
import org.knapweedbank.scheduling.placement.VmState;

/** Capacity that is kept for an urgent task until its victims have ended. */
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
     * @param need capacity that is kept
     * @param vm VM that keeps it
     * @param createdNanos monotonic time of the decision
     * @param round number of VMs on which victims have been chosen for the task, from 1
     */
    public Reservation(PendingTask task, Resources need, VmState vm, long createdNanos, int round) {
        mTask = task;
        mNeed = need;
        mVm = vm;
        mCreatedNanos = createdNanos;
        mRound = round;
    }

    /**
     * The urgent task.
     *
     * @return the task
     */
    public PendingTask task() {
        return mTask;
    }

    /**
     * Capacity that is kept.
     *
     * @return the amount
     */
    public Resources need() {
        return mNeed;
    }

    /**
     * VM that keeps it.
     *
     * @return the VM
     */
    public VmState vm() {
        return mVm;
    }

    /**
     * Time of the decision.
     *
     * @return monotonic time in nanoseconds
     */
    public long createdNanos() {
        return mCreatedNanos;
    }

    /**
     * Number of VMs on which victims have been chosen for the task.
     *
     * @return the number, from 1
     */
    public int round() {
        return mRound;
    }

    /**
     * Tells whether the victims have ended.
     *
     * @return true if the VM has the capacity and takes tasks
     */
    public boolean victimsEnded() {
        return mVm.placeable() && mNeed.fitsIn(mVm.free());
    }

    /**
     * Notes that a VM has gained capacity that may hold the task at once.
     *
     * @param vm the VM
     */
    public void noteCapacityGain(VmState vm) {
        mMayFitElsewhere |= vm != mVm && vm.placeable() && mNeed.fitsIn(vm.available());
    }

    /**
     * Tells whether another VM may hold the task, and resets that.
     *
     * @return true after {@link #noteCapacityGain} with a VM that fits
     */
    public boolean takeMayFitElsewhere() {
        boolean mayFitElsewhere = mMayFitElsewhere;
        mMayFitElsewhere = false;
        return mayFitElsewhere;
    }
}
