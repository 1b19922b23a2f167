package org.knapweedbank.scheduling.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.VmDescription;

/** Ledger of one VM: what it has, what its tasks hold and what is promised to urgent tasks. */
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
    private Resources mPreemptible = Resources.NONE;
    private boolean mRegistered;
    private boolean mSchedulable = true;
    private boolean mQuarantined;

    VmState(VmId id) {
        mId = id;
    }

    /**
     * The VM.
     *
     * @return its identifier
     */
    public VmId id() {
        return mId;
    }

    /**
     * Tasks that hold resources.
     *
     * @return the tasks
     */
    public Collection<TaskAllocation> allocations() {
        return mAllocations.values();
    }

    /**
     * Tells whether a task holds resources here.
     *
     * @param task the task
     * @return true if it does
     */
    public boolean holds(TaskId task) {
        return mAllocations.containsKey(task);
    }

    /**
     * Capacity of the VM.
     *
     * @return the capacity; none if the VM has not registered
     */
    public Resources capacity() {
        return mDescription == null ? Resources.NONE : mDescription.capacity();
    }

    /**
     * Capacity that no task holds, including what is promised.
     *
     * @return the free amount; a component may be negative after the capacity has shrunk
     */
    public Resources free() {
        return capacity().minus(mAllocated);
    }

    /**
     * Capacity that a new task may take.
     *
     * @return free amount without what is promised; a component may be negative
     */
    public Resources available() {
        return capacity().minus(mAllocated).minus(mReservedForPreemptors);
    }

    /**
     * Resources held by tasks.
     *
     * @return the amount
     */
    public Resources allocated() {
        return mAllocated;
    }

    /**
     * Tells whether new tasks may be placed here.
     *
     * @return true if registered, schedulable, not quarantined and in a data centre in service
     */
    public boolean placeable() {
        return mRegistered
                && mSchedulable
                && !mQuarantined
                && mDataCentre != null
                && !mDataCentre.outOfService();
    }

    /**
     * Tells whether the VM has registered and not been removed.
     *
     * @return true if registered
     */
    public boolean registered() {
        return mRegistered;
    }

    /**
     * Tells whether the controller allows placements.
     *
     * @return true unless forbidden
     */
    public boolean schedulable() {
        return mSchedulable;
    }

    /**
     * Tells whether the VM is quarantined.
     *
     * @return true if quarantined
     */
    public boolean quarantined() {
        return mQuarantined;
    }

    /**
     * Data centre of the VM.
     *
     * @return the data centre, or null if the VM has not registered
     */
    public DataCentreCapacity dataCentre() {
        return mDataCentre;
    }

    /**
     * Rack of the VM.
     *
     * @return name that is unique over data centres, or empty
     */
    public String rackKey() {
        return mRackKey;
    }

    /**
     * Classes of the service tasks.
     *
     * @return the classes
     */
    public TaskClassCounts serviceClasses() {
        return mServiceClasses;
    }

    /**
     * Classes of the batch tasks.
     *
     * @return the classes
     */
    public TaskClassCounts batchClasses() {
        return mBatchClasses;
    }

    void describe(VmDescription description, DataCentreCapacity dataCentre) {
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
