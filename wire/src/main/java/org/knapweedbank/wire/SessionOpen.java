package org.knapweedbank.wire;

import java.util.List;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.VmId;

/**
 * Asks the owner of the partition for a control session for a worker VM.
 *
 * @param vm worker VM
 * @param rack rack of the VM
 * @param region region of the VM
 * @param capacity capacity of the VM
 * @param dataAddress HOST:PORT on which the agent accepts requests
 * @param generation configuration generation in force at the agent, or 0 if there is none
 * @param tasks attempts that the VM holds
 * @param workerAddress HOST:PORT of the VM's worker, which the owner asks about ended attempts if
 *     the agent is not available; empty if other VMs cannot reach the worker
 */
public record SessionOpen(
        VmId vm,
        String rack,
        String region,
        Resources capacity,
        String dataAddress,
        long generation,
        List<TaskHeld> tasks,
        String workerAddress)
        implements Message {
    /** Makes unmodifiable copies of the lists. */
    public SessionOpen {
        tasks = List.copyOf(tasks);
    }

    /**
     * Creates the message for a VM whose worker cannot be reached by other VMs.
     *
     * @param vm worker VM
     * @param rack rack of the VM
     * @param region region of the VM
     * @param capacity capacity of the VM
     * @param dataAddress HOST:PORT on which the agent accepts requests
     * @param generation configuration generation in force at the agent, or 0 if there is none
     * @param tasks attempts that the VM holds
     */
    public SessionOpen(
            VmId vm,
            String rack,
            String region,
            Resources capacity,
            String dataAddress,
            long generation,
            List<TaskHeld> tasks) {
        this(vm, rack, region, capacity, dataAddress, generation, tasks, "");
    }
}
