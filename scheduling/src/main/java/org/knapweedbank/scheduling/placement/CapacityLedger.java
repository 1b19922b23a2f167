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

/** Keeps the capacity of all VMs of a partition and the resources allocated to tasks. */
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
     * @param interferenceCosts provides the numbers of task classes
     * @param capacityRetentionNanos time for which the capacity of a removed VM is remembered, in
     *     nanoseconds
     * @param onCapacityGain called with each VM whose available capacity may have grown
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
     * Adds a VM or updates its description.
     *
     * @param description description of the VM
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
        vm.updateDescription(description, dataCentre);
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
     * Removes a VM. Its tasks stay allocated until they are released.
     *
     * @param id identifier of the VM; an unknown one has no effect
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
     * Allows or forbids new placements on a VM.
     *
     * @param id identifier of the VM
     * @param schedulable true to allow placements
     */
    public void setSchedulable(VmId id, boolean schedulable) {
        VmState vm = findOrCreateVm(id);
        vm.setSchedulable(schedulable);
        mOnCapacityGain.accept(vm);
    }

    /**
     * Starts or ends the quarantine of a VM.
     *
     * @param id identifier of the VM; an unknown one has no effect
     * @param quarantined true to exclude the VM from placement
     */
    public void setQuarantined(VmId id, boolean quarantined) {
        VmState vm = mVms.get(id);
        if (vm != null && vm.quarantined() != quarantined) {
            vm.setQuarantined(quarantined);
            mOnCapacityGain.accept(vm);
        }
    }

    /**
     * Sets the data centres that are out of service and get no new tasks.
     *
     * @param outOfService data centres that are out of service
     */
    public void setOutOfServiceDataCentres(Set<DataCentreId> outOfService) {
        mOutOfService.clear();
        mOutOfService.addAll(outOfService);
        for (DataCentreCapacity dataCentre : mDataCentreList) {
            boolean wasOutOfService = dataCentre.outOfService();
            dataCentre.setOutOfService(outOfService.contains(dataCentre.id()));
            if (wasOutOfService && !dataCentre.outOfService()) {
                dataCentre.vms().forEach(mOnCapacityGain);
            }
        }
    }

    /**
     * Allocates resources of a VM to a task.
     *
     * @param task task that has no allocation yet
     * @param vmId VM that runs the task; may not be registered yet
     * @param reserved resources to allocate
     * @return the allocation
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
     * Releases the resources of a task.
     *
     * @param id identifier of the task
     * @return the released allocation, or null if the task had none
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
     * Marks a task that has been asked to checkpoint and end. It keeps its resources until it is
     * released.
     *
     * @param allocation allocation of the task
     */
    public void markEnding(TaskAllocation allocation) {
        allocation.vm().markEnding(allocation);
    }

    /**
     * Reserves capacity of a VM for an urgent task whose victims are ending.
     *
     * @param vm the VM
     * @param amount capacity to reserve
     */
    public void reserveForPreemptor(VmState vm, Resources amount) {
        vm.reserveForPreemptor(amount);
    }

    /**
     * Withdraws a reservation for an urgent task.
     *
     * @param vm the VM
     * @param amount reserved capacity
     */
    public void withdrawPreemptorReservation(VmState vm, Resources amount) {
        vm.withdrawPreemptorReservation(amount);
        mOnCapacityGain.accept(vm);
    }

    /**
     * Returns the allocation of a task.
     *
     * @param id identifier of the task
     * @return the allocation, or null if the task has none
     */
    public TaskAllocation find(TaskId id) {
        return mAllocations.get(id);
    }

    /**
     * Returns the state of a VM.
     *
     * @param id identifier of the VM
     * @return the state, or null if the VM is unknown
     */
    public VmState vm(VmId id) {
        return mVms.get(id);
    }

    /**
     * Returns all VMs that are registered or have tasks.
     *
     * @return the VMs
     */
    public Collection<VmState> vms() {
        return mVms.values();
    }

    /**
     * Returns all data centres that have ever had a VM.
     *
     * @return the data centres in the order in which they were added
     */
    public List<DataCentreCapacity> dataCentres() {
        return mDataCentreList;
    }

    /**
     * Returns the catalog of VM capacities.
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
