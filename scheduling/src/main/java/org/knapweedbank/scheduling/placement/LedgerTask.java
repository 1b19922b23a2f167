package org.knapweedbank.scheduling.placement;

import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.scheduling.PendingTask;

/** A task that holds resources of a VM. */
public final class LedgerTask {
    private final PendingTask mTask;
    private final VmSlot mSlot;
    private final Resources mReserved;
    private final int mClassNumber;
    private final long mSinceNanos;
    private boolean mEnding;

    LedgerTask(
            PendingTask task, VmSlot slot, Resources reserved, int classNumber, long sinceNanos) {
        mTask = task;
        mSlot = slot;
        mReserved = reserved;
        mClassNumber = classNumber;
        mSinceNanos = sinceNanos;
    }

    /**
     * The task as it was queued.
     *
     * @return the task
     */
    public PendingTask task() {
        return mTask;
    }

    /**
     * The VM that holds it.
     *
     * @return the VM
     */
    public VmSlot slot() {
        return mSlot;
    }

    /**
     * Resources that it holds.
     *
     * @return the resources
     */
    public Resources reserved() {
        return mReserved;
    }

    /**
     * Number of its class.
     *
     * @return the number
     */
    public int classNumber() {
        return mClassNumber;
    }

    /**
     * Time since which it holds the resources.
     *
     * @return monotonic time in nanoseconds
     */
    public long sinceNanos() {
        return mSinceNanos;
    }

    /**
     * Tells whether an urgent task may take its place.
     *
     * @return true for batch tasks that are not urgent and not already asked to end
     */
    public boolean preemptible() {
        return isBatch() && !mTask.urgent() && !mEnding;
    }

    /**
     * Tells whether it has been asked to checkpoint and end.
     *
     * @return true after a preemption or eviction was decided
     */
    public boolean ending() {
        return mEnding;
    }

    boolean isBatch() {
        return mTask.kind() == JobKind.BATCH;
    }

    void markEnding() {
        mEnding = true;
    }
}
