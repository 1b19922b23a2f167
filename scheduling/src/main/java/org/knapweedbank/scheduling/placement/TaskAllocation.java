package org.knapweedbank.scheduling.placement;

import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.scheduling.PendingTask;

/** Resources of a VM that are allocated to a task. */
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
     * Returns the task as it was enqueued.
     *
     * @return the task
     */
    public PendingTask task() {
        return mTask;
    }

    /**
     * Returns the VM whose resources are allocated.
     *
     * @return the VM
     */
    public VmState vm() {
        return mVm;
    }

    /**
     * Returns the allocated resources.
     *
     * @return the resources
     */
    public Resources reserved() {
        return mReserved;
    }

    /**
     * Returns the number of the task class.
     *
     * @return the number
     */
    public int classNumber() {
        return mClassNumber;
    }

    /**
     * Returns the time of the allocation.
     *
     * @return monotonic time in nanoseconds
     */
    public long allocatedNanos() {
        return mAllocatedNanos;
    }

    /**
     * Returns whether the task may be preempted for an urgent task.
     *
     * @return true for a batch task that is not urgent and has not been asked to end
     */
    public boolean preemptible() {
        return isBatch() && !mTask.urgent() && !mEnding;
    }

    /**
     * Returns whether the task has been asked to checkpoint and end.
     *
     * @return true after a preemption or eviction decision
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
