package org.knapweedbank.scheduling.quota;

import org.knapweedbank.model.Resources;
import org.knapweedbank.scheduling.PendingTask;
import org.knapweedbank.scheduling.placement.VmSlot;

/** Capacity that is kept for an urgent task until its victims have ended. */
public final class Reservation {
    private final PendingTask mTask;
    private final Resources mNeed;
    private final VmSlot mSlot;
    private final long mSinceNanos;
    private final int mRound;
    private boolean mRetry;

    /**
     * Creates a reservation.
     *
     * @param task the urgent task
     * @param need capacity that is kept
     * @param slot VM that keeps it
     * @param sinceNanos monotonic time of the decision
     * @param round number of VMs on which victims have been chosen for the task, from 1
     */
    public Reservation(PendingTask task, Resources need, VmSlot slot, long sinceNanos, int round) {
        mTask = task;
        mNeed = need;
        mSlot = slot;
        mSinceNanos = sinceNanos;
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
    public VmSlot slot() {
        return mSlot;
    }

    /**
     * Time of the decision.
     *
     * @return monotonic time in nanoseconds
     */
    public long sinceNanos() {
        return mSinceNanos;
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
    public boolean ready() {
        return mSlot.placeable() && mNeed.fitsIn(mSlot.free());
    }

    /**
     * Notes that a VM has gained capacity that may hold the task at once.
     *
     * @param slot the VM
     */
    public void noteGrowth(VmSlot slot) {
        mRetry |= slot != mSlot && slot.placeable() && mNeed.fitsIn(slot.available());
    }

    /**
     * Tells whether another VM may hold the task, and resets that.
     *
     * @return true after {@link #noteGrowth} with a VM that fits
     */
    public boolean takeRetry() {
        boolean retry = mRetry;
        mRetry = false;
        return retry;
    }
}
