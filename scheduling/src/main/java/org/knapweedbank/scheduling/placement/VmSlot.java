package org.knapweedbank.scheduling.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.VmDescription;

/** Ledger of one VM: what it has, what its tasks hold and what is promised to urgent tasks. */
public final class VmSlot {
    private final VmId mId;
    private final Map<TaskId, LedgerTask> mTasks = new HashMap<>();
    private final ClassCounts mServiceClasses = new ClassCounts();
    private final ClassCounts mBatchClasses = new ClassCounts();
    private final CapacityIndex.Node mFreeNode = new CapacityIndex.Node(this);
    private final CapacityIndex.Node mPreemptibleNode = new CapacityIndex.Node(this);
    private VmDescription mDescription;
    private DataCentreCapacity mDataCentre;
    private String mRackKey = "";
    private Resources mUsed = Resources.NONE;
    private Resources mPromised = Resources.NONE;
    private Resources mPreemptible = Resources.NONE;
    private boolean mRegistered;
    private boolean mSchedulable = true;
    private boolean mQuarantined;

    VmSlot(VmId id) {
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
    public Collection<LedgerTask> tasks() {
        return mTasks.values();
    }

    /**
     * Tells whether a task holds resources here.
     *
     * @param task the task
     * @return true if it does
     */
    public boolean holds(TaskId task) {
        return mTasks.containsKey(task);
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
        return capacity().minus(mUsed);
    }

    /**
     * Capacity that a new task may take.
     *
     * @return free amount without what is promised; a component may be negative
     */
    public Resources available() {
        return capacity().minus(mUsed).minus(mPromised);
    }

    /**
     * Resources held by tasks.
     *
     * @return the amount
     */
    public Resources used() {
        return mUsed;
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
                && !mDataCentre.removed();
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
    public ClassCounts serviceClasses() {
        return mServiceClasses;
    }

    /**
     * Classes of the batch tasks.
     *
     * @return the classes
     */
    public ClassCounts batchClasses() {
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

    void add(LedgerTask held) {
        mTasks.put(held.task().id(), held);
        (held.isBatch() ? mBatchClasses : mServiceClasses).add(held.classNumber());
        mUsed = mUsed.plus(held.reserved());
        if (held.preemptible()) {
            mPreemptible = mPreemptible.plus(held.reserved());
        }
        reindex();
    }

    void remove(LedgerTask held) {
        mTasks.remove(held.task().id());
        (held.isBatch() ? mBatchClasses : mServiceClasses).remove(held.classNumber());
        mUsed = mUsed.minus(held.reserved());
        if (held.preemptible()) {
            mPreemptible = mPreemptible.minus(held.reserved());
        }
        reindex();
    }

    void markEnding(LedgerTask held) {
        if (held.preemptible()) {
            mPreemptible = mPreemptible.minus(held.reserved());
        }
        held.markEnding();
        reindex();
    }

    void promise(Resources amount) {
        mPromised = mPromised.plus(amount);
        reindex();
    }

    void withdrawPromise(Resources amount) {
        mPromised = mPromised.minus(amount);
        reindex();
    }

    void reindex() {
        if (mDataCentre == null) {
            return;
        }
        Resources available = available();
        boolean placeable = placeable();
        mDataCentre.free().update(mFreeNode, available, placeable && available.isNonNegative());
        Resources reclaimable = available.plus(mPreemptible);
        mDataCentre
                .preemptible()
                .update(
                        mPreemptibleNode,
                        reclaimable,
                        placeable
                                && reclaimable.isNonNegative()
                                && !mPreemptible.equals(Resources.NONE));
    }

    private void unindex() {
        if (mDataCentre != null) {
            mDataCentre.free().update(mFreeNode, Resources.NONE, false);
            mDataCentre.preemptible().update(mPreemptibleNode, Resources.NONE, false);
        }
    }
}
