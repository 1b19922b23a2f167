package org.knapweedbank.jobs;

import java.util.List;
import org.knapweedbank.model.Resources;

/**
 * Attributes that a worker reports about itself.
 *
 * @param id identity of this incarnation
 * @param service pool of VMs that the worker belongs to
 * @param capacity total resources that its tasks may reserve
 * @param labels labels that placement rules may require
 * @param rack rack of the VM, empty if unknown
 * @param draining true if the worker accepts no new tasks
 */
public record WorkerInfo(
        WorkerId id,
        String service,
        Resources capacity,
        List<String> labels,
        String rack,
        boolean draining) {
    /** Copies the labels. */
    public WorkerInfo {
        labels = List.copyOf(labels);
    }

    /**
     * Returns the same attributes for another incarnation.
     *
     * @param newId identity of the other incarnation
     * @return the attributes
     */
    public WorkerInfo withId(WorkerId newId) {
        return new WorkerInfo(newId, service, capacity, labels, rack, draining);
    }
}
