package org.knapweedbank.scheduling.placement;

import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.scheduling.PendingTask;

/** A task that holds resources of a VM. */
public final class TaskAllocation {
    private final PendingTask mTask;
    private final VmState mVm;
    private final Resources mReserved;
    private final int mClassNumber;
    private final long mAllocatedNanos;
    private boolean mEnding;

    TaskAllocation(
            PendingTask task,
            VmState vm,
            Resources reserved,
            int classNumber,
            long allocatedNanos) {
        mTask = task;
        mVm = vm;
        mReserved = reserved;
        mClassNumber = classNumber;
        mAllocatedNanos = allocatedNanos;
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
    public VmState vm() {
        return mVm;
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
    public long allocatedNanos() {
        return mAllocatedNanos;
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
