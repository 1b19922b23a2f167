package org.knapweedbank.agent;

import java.util.List;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.VmId;

/**
 * Settings of an agent.
 *
 * @param daemon identifier of the agent, which must remain the same across restarts
 * @param vm worker VM that the agent serves
 * @param region region of the VM
 * @param dataCentre data centre of the VM
 * @param rack rack of the VM
 * @param capacity capacity of the VM
 * @param host IP address on which entries reach the agent
 * @param dataPort port for requests, or 0 for any free port
 * @param announcePort loopback port for announcements of upstreams, or 0 for any free port
 * @param seeds HOST:PORT of the entries at which the agent looks for the owner, usually the load
 *     balancer
 * @param workerAddress HOST:PORT of the VM's worker, or empty if it is not reachable from other VMs
 */
public record AgentSettings(
        DaemonId daemon,
        VmId vm,
        String region,
        DataCentreId dataCentre,
        String rack,
        Resources capacity,
        String host,
        int dataPort,
        int announcePort,
        List<String> seeds,
        String workerAddress) {
    /**
     * Validates the settings and makes a defensive copy of the seeds.
     *
     * @throws IllegalArgumentException if there are no seeds or the capacity is negative
     */
    public AgentSettings {
        if (seeds.isEmpty()) {
            throw new IllegalArgumentException("no seeds are given");
        }
        if (!capacity.isNonNegative()) {
            throw new IllegalArgumentException("capacity is negative: " + capacity);
        }
        seeds = List.copyOf(seeds);
    }

    /**
     * Creates settings of an agent whose worker is not reachable from other VMs.
     *
     * @param daemon identifier of the agent
     * @param vm worker VM that the agent serves
     * @param region region of the VM
     * @param dataCentre data centre of the VM
     * @param rack rack of the VM
     * @param capacity capacity of the VM
     * @param host IP address on which entries reach the agent
     * @param dataPort port for requests, or 0 for any free port
     * @param announcePort port for announcements, or 0 for any free port
     * @param seeds HOST:PORT of entries
     */
    public AgentSettings(
            DaemonId daemon,
            VmId vm,
            String region,
            DataCentreId dataCentre,
            String rack,
            Resources capacity,
            String host,
            int dataPort,
            int announcePort,
            List<String> seeds) {
        this(
                daemon,
                vm,
                region,
                dataCentre,
                rack,
                capacity,
                host,
                dataPort,
                announcePort,
                seeds,
                "");
    }
}
