package org.knapweedbank.wire;

import java.util.List;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.VmId;

/**
 * Opens a control session for a worker VM.
 *
 * @param vm worker VM
 * @param rack rack of the VM
 * @param region region of the VM
 * @param capacity capacity of the VM
 * @param dataAddress HOST:PORT on which the agent accepts requests
 * @param generation configuration generation in force at the agent, or 0
 * @param tasks attempts that the VM holds
 * @param workerAddress HOST:PORT of the VM's worker, which the owner asks about ended attempts when
 *     the agent is gone; empty if other VMs cannot reach it
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
    /** Copies the lists. */
    public SessionOpen {
        tasks = List.copyOf(tasks);
    }

    /**
     * Opens a session for a VM whose worker other VMs cannot reach.
     *
     * @param vm worker VM
     * @param rack rack of the VM
     * @param region region of the VM
     * @param capacity capacity of the VM
     * @param dataAddress HOST:PORT on which the agent accepts requests
     * @param generation configuration generation in force at the agent, or 0
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
