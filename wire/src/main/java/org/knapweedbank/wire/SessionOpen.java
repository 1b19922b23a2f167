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
 */
public record SessionOpen(
        VmId vm,
        String rack,
        String region,
        Resources capacity,
        String dataAddress,
        long generation,
        List<TaskHeld> tasks)
        implements Message {
    /** Copies the lists. */
    public SessionOpen {
        tasks = List.copyOf(tasks);
    }
}
