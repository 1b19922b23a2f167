package org.knapweedbank.scheduling.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.VmDescription;

/**
 * Capacity of one VM, the resources allocated to its tasks and the capacity reserved for urgent
 * tasks.
 */
public final class VmState {
    private final VmId mId;
    private final Map<TaskId, TaskAllocation> mAllocations = new HashMap<>();
    private final TaskClassCounts mServiceClasses = new TaskClassCounts();
    private final TaskClassCounts mBatchClasses = new TaskClassCounts();
    private final CapacityIndex.Entry mFreeEntry = new CapacityIndex.Entry(this);
    private final CapacityIndex.Entry mPreemptibleEntry = new CapacityIndex.Entry(this);
    private VmDescription mDescription;
    private DataCentreCapacity mDataCentre;
    private String mRackKey = "";
    private Resources mAllocated = Resources.NONE;
    private Resources mReservedForPreemptors = Resources.NONE;

    /** Sum of the resources allocated to preemptible tasks. */
    private Resources mPreemptible = Resources.NONE;

    private boolean mRegistered;
    private boolean mSchedulable = true;
    private boolean mQuarantined;

    VmState(VmId id) {
        mId = id;
    }

    /**
     * Returns the identifier of the VM.
     *
     * @return the identifier
     */
    public VmId id() {
        return mId;
    }

    /**
     * Returns the allocations of the tasks on this VM.
     *
     * @return the allocations
     */
    public Collection<TaskAllocation> allocations() {
        return mAllocations.values();
    }

    /**
     * Returns whether a task has an allocation on this VM.
     *
     * @param task the task
     * @return true if it has
     */
    public boolean holds(TaskId task) {
        return mAllocations.containsKey(task);
    }

    /**
     * Returns the capacity of the VM.
     *
     * @return the capacity; none if the VM has not registered
     */
    public Resources capacity() {
        return mDescription == null ? Resources.NONE : mDescription.capacity();
    }

    /**
     * Returns the capacity that is not allocated to tasks, including that reserved for urgent
     * tasks.
     *
     * @return the free capacity; a component may be negative after the capacity has shrunk
     */
    public Resources free() {
        return capacity().minus(mAllocated);
    }

    /**
     * Returns the capacity that a new task may use.
     *
     * @return free capacity that is not reserved for urgent tasks; a component may be negative
     */
    public Resources available() {
        return capacity().minus(mAllocated).minus(mReservedForPreemptors);
    }

    /**
     * Returns the resources allocated to tasks.
     *
     * @return the resources
     */
    public Resources allocated() {
        return mAllocated;
    }

    /**
     * Returns whether new tasks may be placed on this VM.
     *
     * @return true if the VM is registered, schedulable and not quarantined, and its data centre is
     *     in service
     */
    public boolean placeable() {
        return mRegistered
                && mSchedulable
                && !mQuarantined
                && mDataCentre != null
                && !mDataCentre.outOfService();
    }

    /**
     * Returns whether the VM has registered and has not been removed since.
     *
     * @return true if registered
     */
    public boolean registered() {
        return mRegistered;
    }

    /**
     * Returns whether the owner of the partition allows placements on this VM.
     *
     * @return true unless forbidden
     */
    public boolean schedulable() {
        return mSchedulable;
    }

    /**
     * Returns whether the VM is quarantined.
     *
     * @return true if quarantined
     */
    public boolean quarantined() {
        return mQuarantined;
    }

    /**
     * Returns the data centre of the VM.
     *
     * @return the data centre, or null if the VM has not registered
     */
    public DataCentreCapacity dataCentre() {
        return mDataCentre;
    }

    /**
     * Returns the rack of the VM.
     *
     * @return name that is unique across data centres, or empty if the VM has not registered
     */
    public String rackKey() {
        return mRackKey;
    }

    /**
     * Returns the classes of the service tasks on this VM.
     *
     * @return the classes
     */
    public TaskClassCounts serviceClasses() {
        return mServiceClasses;
    }

    /**
     * Returns the classes of the batch tasks on this VM.
     *
     * @return the classes
     */
    public TaskClassCounts batchClasses() {
        return mBatchClasses;
    }

    void updateDescription(VmDescription description, DataCentreCapacity dataCentre) {
        unindex();
        mDescription = description;
        mDataCentre = dataCentre;
        mRackKey = description.dataCentre().value() + "/" + description.rack();
        mRegistered = true;
        reindex();
    }

    void unregister() {
        mRegistered = false;
        reindex();
    }

    void setSchedulable(boolean schedulable) {
        mSchedulable = schedulable;
        reindex();
    }

    void setQuarantined(boolean quarantined) {
        mQuarantined = quarantined;
        reindex();
    }

    void add(TaskAllocation allocation) {
        mAllocations.put(allocation.task().id(), allocation);
        (allocation.isBatch() ? mBatchClasses : mServiceClasses).add(allocation.classNumber());
        mAllocated = mAllocated.plus(allocation.reserved());
        if (allocation.preemptible()) {
            mPreemptible = mPreemptible.plus(allocation.reserved());
        }
        reindex();
    }

    void remove(TaskAllocation allocation) {
        mAllocations.remove(allocation.task().id());
        (allocation.isBatch() ? mBatchClasses : mServiceClasses).remove(allocation.classNumber());
        mAllocated = mAllocated.minus(allocation.reserved());
        if (allocation.preemptible()) {
            mPreemptible = mPreemptible.minus(allocation.reserved());
        }
        reindex();
    }

    void markEnding(TaskAllocation allocation) {
        if (allocation.preemptible()) {
            mPreemptible = mPreemptible.minus(allocation.reserved());
        }
        allocation.markEnding();
        reindex();
    }

    void reserveForPreemptor(Resources amount) {
        mReservedForPreemptors = mReservedForPreemptors.plus(amount);
        reindex();
    }

    void withdrawPreemptorReservation(Resources amount) {
        mReservedForPreemptors = mReservedForPreemptors.minus(amount);
        reindex();
    }

    void reindex() {
        if (mDataCentre == null) {
            return;
        }
        Resources available = available();
        boolean placeable = placeable();
        mDataCentre
                .freeIndex()
                .update(mFreeEntry, available, placeable && available.isNonNegative());
        Resources reclaimable = available.plus(mPreemptible);
        mDataCentre
                .preemptibleIndex()
                .update(
                        mPreemptibleEntry,
                        reclaimable,
                        placeable
                                && reclaimable.isNonNegative()
                                && !mPreemptible.equals(Resources.NONE));
    }

    private void unindex() {
        if (mDataCentre != null) {
            mDataCentre.freeIndex().update(mFreeEntry, Resources.NONE, false);
            mDataCentre.preemptibleIndex().update(mPreemptibleEntry, Resources.NONE, false);
        }
    }
}
