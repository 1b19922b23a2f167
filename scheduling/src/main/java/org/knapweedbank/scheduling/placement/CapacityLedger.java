package org.knapweedbank.scheduling.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.JobKind;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.scheduling.PendingTask;
import org.knapweedbank.scheduling.VmDescription;
import org.knapweedbank.time.Clock;

/** Capacity of the partition's VMs and the tasks that hold it. */
public final class CapacityLedger {
    private final Clock mClock;
    private final PairCosts mPairCosts;
    private final Consumer<VmSlot> mOnGrowth;
    private final CapacityCatalog mCatalog;
    private final Map<VmId, VmSlot> mSlots = new HashMap<>();
    private final Map<TaskId, LedgerTask> mTasks = new HashMap<>();
    private final Map<DataCentreId, DataCentreCapacity> mDataCentres = new HashMap<>();
    private final List<DataCentreCapacity> mDataCentreList = new ArrayList<>();
    private final Map<JobId, JobSpread> mSpreads = new HashMap<>();
    private final Set<DataCentreId> mRemoved = new HashSet<>();

    /**
     * Creates a ledger without VMs.
     *
     * @param clock source of time
     * @param pairCosts numbers of the task classes
     * @param capacityMemoryNanos time for which the capacity of a removed VM is remembered
     * @param onGrowth called with a VM whose available capacity may have grown
     */
    public CapacityLedger(
            Clock clock, PairCosts pairCosts, long capacityMemoryNanos, Consumer<VmSlot> onGrowth) {
        mClock = clock;
        mPairCosts = pairCosts;
        mCatalog = new CapacityCatalog(capacityMemoryNanos);
        mOnGrowth = onGrowth;
    }

    /**
     * Adds a VM or changes its description.
     *
     * @param vm the VM
     */
    public void putVm(VmDescription vm) {
        VmSlot slot = slotOf(vm.id());
        if (slot.registered()) {
            mCatalog.remove(slot.capacity(), mClock.monotonicNanos());
        }
        mCatalog.add(vm.capacity());
        countReplicas(slot, -1);
        DataCentreCapacity dataCentre =
                mDataCentres.computeIfAbsent(vm.dataCentre(), this::createDataCentre);
        if (slot.dataCentre() != dataCentre) {
            if (slot.dataCentre() != null) {
                slot.dataCentre().slots().remove(slot);
            }
            dataCentre.slots().add(slot);
        }
        slot.describe(vm, dataCentre);
        countReplicas(slot, 1);
        mOnGrowth.accept(slot);
    }

    private void countReplicas(VmSlot slot, int sign) {
        for (LedgerTask held : slot.tasks()) {
            countReplica(held, sign);
        }
    }

    private void countReplica(LedgerTask held, int change) {
        if (held.task().kind() == JobKind.SERVICE) {
            JobId job = held.task().id().job();
            JobSpread spread = mSpreads.computeIfAbsent(job, key -> new JobSpread());
            spread.add(held.slot(), change);
            if (spread.isEmpty()) {
                mSpreads.remove(job);
            }
        }
    }

    private DataCentreCapacity createDataCentre(DataCentreId id) {
        DataCentreCapacity dataCentre = new DataCentreCapacity(id);
        dataCentre.setRemoved(mRemoved.contains(id));
        mDataCentreList.add(dataCentre);
        return dataCentre;
    }

    private VmSlot slotOf(VmId id) {
        return mSlots.computeIfAbsent(id, VmSlot::new);
    }

    /**
     * Removes a VM; its tasks stay until they are released.
     *
     * @param id the VM; unknown ones have no effect
     */
    public void removeVm(VmId id) {
        VmSlot slot = mSlots.get(id);
        if (slot != null && slot.registered()) {
            mCatalog.remove(slot.capacity(), mClock.monotonicNanos());
            slot.unregister();
            forgetIfUnused(slot);
        }
    }

    private void forgetIfUnused(VmSlot slot) {
        if (!slot.registered() && slot.tasks().isEmpty()) {
            mSlots.remove(slot.id());
            if (slot.dataCentre() != null) {
                slot.dataCentre().slots().remove(slot);
            }
        }
    }

    /**
     * Allows or forbids placements on a VM.
     *
     * @param id the VM
     * @param schedulable true to allow
     */
    public void setSchedulable(VmId id, boolean schedulable) {
        VmSlot slot = slotOf(id);
        slot.setSchedulable(schedulable);
        mOnGrowth.accept(slot);
    }

    /**
     * Quarantines a VM or ends its quarantine.
     *
     * @param id the VM; unknown ones have no effect
     * @param quarantined true to exclude it from placement
     */
    public void setQuarantined(VmId id, boolean quarantined) {
        VmSlot slot = mSlots.get(id);
        if (slot != null && slot.quarantined() != quarantined) {
            slot.setQuarantined(quarantined);
            mOnGrowth.accept(slot);
        }
    }

    /**
     * Sets the data centres that take no new tasks.
     *
     * @param removed the data centres
     */
    public void setRemovedDataCentres(Set<DataCentreId> removed) {
        mRemoved.clear();
        mRemoved.addAll(removed);
        for (DataCentreCapacity dataCentre : mDataCentreList) {
            boolean before = dataCentre.removed();
            dataCentre.setRemoved(removed.contains(dataCentre.id()));
            if (before && !dataCentre.removed()) {
                dataCentre.slots().forEach(mOnGrowth);
            }
        }
    }

    /**
     * Enters a task.
     *
     * @param task the task; not in the ledger
     * @param vm VM that holds it; may be one that has not registered
     * @param reserved resources that it holds
     * @return the entry
     */
    public LedgerTask hold(PendingTask task, VmId vm, Resources reserved) {
        VmSlot slot = slotOf(vm);
        LedgerTask held =
                new LedgerTask(
                        task,
                        slot,
                        reserved,
                        mPairCosts.numberOf(task.taskClass()),
                        mClock.monotonicNanos());
        mTasks.put(task.id(), held);
        slot.add(held);
        countReplica(held, 1);
        return held;
    }

    /**
     * Frees what a task holds.
     *
     * @param id the task
     * @return the entry that was removed, or null if there was none
     */
    public LedgerTask release(TaskId id) {
        LedgerTask held = mTasks.remove(id);
        if (held != null) {
            countReplica(held, -1);
            held.slot().remove(held);
            forgetIfUnused(held.slot());
            mOnGrowth.accept(held.slot());
        }
        return held;
    }

    /**
     * Marks a task that has been asked to checkpoint and end; it holds its resources until
     * released.
     *
     * @param held the task
     */
    public void markEnding(LedgerTask held) {
        held.slot().markEnding(held);
    }

    /**
     * Keeps capacity of a VM for a task that waits for victims to end.
     *
     * @param slot the VM
     * @param amount the capacity
     */
    public void promise(VmSlot slot, Resources amount) {
        slot.promise(amount);
    }

    /**
     * Gives up kept capacity.
     *
     * @param slot the VM
     * @param amount the capacity
     */
    public void withdrawPromise(VmSlot slot, Resources amount) {
        slot.withdrawPromise(amount);
        mOnGrowth.accept(slot);
    }

    /**
     * Finds the entry of a task.
     *
     * @param id the task
     * @return the entry, or null
     */
    public LedgerTask find(TaskId id) {
        return mTasks.get(id);
    }

    /**
     * Finds a VM.
     *
     * @param id the VM
     * @return the VM, or null
     */
    public VmSlot slot(VmId id) {
        return mSlots.get(id);
    }

    /**
     * All VMs that are registered or hold tasks.
     *
     * @return the VMs
     */
    public Collection<VmSlot> slots() {
        return mSlots.values();
    }

    /**
     * Data centres that have had a VM.
     *
     * @return the data centres, in order of appearance
     */
    public List<DataCentreCapacity> dataCentres() {
        return mDataCentreList;
    }

    /**
     * Capacities of the VMs.
     *
     * @return the catalog
     */
    public CapacityCatalog catalog() {
        return mCatalog;
    }

    JobSpread spread(JobId job) {
        return mSpreads.getOrDefault(job, JobSpread.EMPTY);
    }
}
