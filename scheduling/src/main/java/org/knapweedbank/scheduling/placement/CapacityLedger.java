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
    private final InterferenceCosts mInterferenceCosts;
    private final Consumer<VmState> mOnCapacityGain;
    private final CapacityCatalog mCatalog;
    private final Map<VmId, VmState> mVms = new HashMap<>();
    private final Map<TaskId, TaskAllocation> mAllocations = new HashMap<>();
    private final Map<DataCentreId, DataCentreCapacity> mDataCentresById = new HashMap<>();
    private final List<DataCentreCapacity> mDataCentreList = new ArrayList<>();
    private final Map<JobId, ReplicaCounts> mReplicasByJob = new HashMap<>();
    private final Set<DataCentreId> mOutOfService = new HashSet<>();

    /**
     * Creates a ledger without VMs.
     *
     * @param clock source of time
     * @param interferenceCosts numbers of the task classes
     * @param capacityRetentionNanos time for which the capacity of a removed VM is remembered
     * @param onCapacityGain called with a VM whose available capacity may have grown
     */
    public CapacityLedger(
            Clock clock,
            InterferenceCosts interferenceCosts,
            long capacityRetentionNanos,
            Consumer<VmState> onCapacityGain) {
        mClock = clock;
        mInterferenceCosts = interferenceCosts;
        mCatalog = new CapacityCatalog(capacityRetentionNanos);
        mOnCapacityGain = onCapacityGain;
    }

    /**
     * Adds a VM or changes its description.
     *
     * @param description the VM
     */
    public void putVm(VmDescription description) {
        VmState vm = findOrCreateVm(description.id());
        if (vm.registered()) {
            mCatalog.remove(vm.capacity(), mClock.monotonicNanos());
        }
        mCatalog.add(description.capacity());
        countReplicas(vm, -1);
        DataCentreCapacity dataCentre =
                mDataCentresById.computeIfAbsent(description.dataCentre(), this::createDataCentre);
        if (vm.dataCentre() != dataCentre) {
            if (vm.dataCentre() != null) {
                vm.dataCentre().vms().remove(vm);
            }
            dataCentre.vms().add(vm);
        }
        vm.describe(description, dataCentre);
        countReplicas(vm, 1);
        mOnCapacityGain.accept(vm);
    }

    private void countReplicas(VmState vm, int sign) {
        for (TaskAllocation allocation : vm.allocations()) {
            countReplica(allocation, sign);
        }
    }

    private void countReplica(TaskAllocation allocation, int change) {
        if (allocation.task().kind() == JobKind.SERVICE) {
            JobId job = allocation.task().id().job();
            ReplicaCounts replicas =
                    mReplicasByJob.computeIfAbsent(job, key -> new ReplicaCounts());
            replicas.add(allocation.vm(), change);
            if (replicas.isEmpty()) {
                mReplicasByJob.remove(job);
            }
        }
    }

    private DataCentreCapacity createDataCentre(DataCentreId id) {
        DataCentreCapacity dataCentre = new DataCentreCapacity(id);
        dataCentre.setOutOfService(mOutOfService.contains(id));
        mDataCentreList.add(dataCentre);
        return dataCentre;
    }

    private VmState findOrCreateVm(VmId id) {
        return mVms.computeIfAbsent(id, VmState::new);
    }

    /**
     * Removes a VM; its tasks stay until they are released.
     *
     * @param id the VM; unknown ones have no effect
     */
    public void removeVm(VmId id) {
        VmState vm = mVms.get(id);
        if (vm != null && vm.registered()) {
            mCatalog.remove(vm.capacity(), mClock.monotonicNanos());
            vm.unregister();
            removeIfUnused(vm);
        }
    }

    private void removeIfUnused(VmState vm) {
        if (!vm.registered() && vm.allocations().isEmpty()) {
            mVms.remove(vm.id());
            if (vm.dataCentre() != null) {
                vm.dataCentre().vms().remove(vm);
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
        VmState vm = findOrCreateVm(id);
        vm.setSchedulable(schedulable);
        mOnCapacityGain.accept(vm);
    }

    /**
     * Quarantines a VM or ends its quarantine.
     *
     * @param id the VM; unknown ones have no effect
     * @param quarantined true to exclude it from placement
     */
    public void setQuarantined(VmId id, boolean quarantined) {
        VmState vm = mVms.get(id);
        if (vm != null && vm.quarantined() != quarantined) {
            vm.setQuarantined(quarantined);
            mOnCapacityGain.accept(vm);
        }
    }

    /**
     * Sets the data centres that take no new tasks.
     *
     * @param removed the data centres
     */
    public void setRemovedDataCentres(Set<DataCentreId> removed) {
        mOutOfService.clear();
        mOutOfService.addAll(removed);
        for (DataCentreCapacity dataCentre : mDataCentreList) {
            boolean wasOutOfService = dataCentre.outOfService();
            dataCentre.setOutOfService(removed.contains(dataCentre.id()));
            if (wasOutOfService && !dataCentre.outOfService()) {
                dataCentre.vms().forEach(mOnCapacityGain);
            }
        }
    }

    /**
     * Enters a task.
     *
     * @param task the task; not in the ledger
     * @param vmId VM that holds it; may be one that has not registered
     * @param reserved resources that it holds
     * @return the entry
     */
    public TaskAllocation allocate(PendingTask task, VmId vmId, Resources reserved) {
        VmState vm = findOrCreateVm(vmId);
        TaskAllocation allocation =
                new TaskAllocation(
                        task,
                        vm,
                        reserved,
                        mInterferenceCosts.classNumber(task.taskClass()),
                        mClock.monotonicNanos());
        mAllocations.put(task.id(), allocation);
        vm.add(allocation);
        countReplica(allocation, 1);
        return allocation;
    }

    /**
     * Frees what a task holds.
     *
     * @param id the task
     * @return the entry that was removed, or null if there was none
     */
    public TaskAllocation release(TaskId id) {
        TaskAllocation allocation = mAllocations.remove(id);
        if (allocation != null) {
            countReplica(allocation, -1);
            allocation.vm().remove(allocation);
            removeIfUnused(allocation.vm());
            mOnCapacityGain.accept(allocation.vm());
        }
        return allocation;
    }

    /**
     * Marks a task that has been asked to checkpoint and end; it holds its resources until
     * released.
     *
     * @param allocation the task
     */
    public void markEnding(TaskAllocation allocation) {
        allocation.vm().markEnding(allocation);
    }

    /**
     * Keeps capacity of a VM for a task that waits for victims to end.
     *
     * @param vm the VM
     * @param amount the capacity
     */
    public void reserveForPreemptor(VmState vm, Resources amount) {
        vm.reserveForPreemptor(amount);
    }

    /**
     * Gives up kept capacity.
     *
     * @param vm the VM
     * @param amount the capacity
     */
    public void withdrawPreemptorReservation(VmState vm, Resources amount) {
        vm.withdrawPreemptorReservation(amount);
        mOnCapacityGain.accept(vm);
    }

    /**
     * Finds the entry of a task.
     *
     * @param id the task
     * @return the entry, or null
     */
    public TaskAllocation find(TaskId id) {
        return mAllocations.get(id);
    }

    /**
     * Finds a VM.
     *
     * @param id the VM
     * @return the VM, or null
     */
    public VmState vm(VmId id) {
        return mVms.get(id);
    }

    /**
     * All VMs that are registered or hold tasks.
     *
     * @return the VMs
     */
    public Collection<VmState> vms() {
        return mVms.values();
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

    ReplicaCounts replicasOf(JobId job) {
        return mReplicasByJob.getOrDefault(job, ReplicaCounts.EMPTY);
    }
}
