package org.knapweedbank.jobs;

import java.util.Collection;

/**
 * Restrictions and preferences for the VMs on which the tasks of a step run.
 *
 * @param requiredLabel label that the VM must have, empty if any VM is allowed
 * @param preferredRack rack that holds the data of the step, empty if there is none
 * @param sameRack true if the tasks are slower when they are spread over several racks
 * @param maxPerVm maximum number of tasks of the step on one VM, 0 if not limited
 */
public record PlacementRule(
        String requiredLabel, String preferredRack, boolean sameRack, int maxPerVm) {
    /** Allows any VM. */
    public static final PlacementRule ANYWHERE = new PlacementRule("", "", false, 0);

    /**
     * Returns whether a VM has the required label.
     *
     * @param labels labels of the VM
     * @return true if it has the label, or if none is required
     */
    public boolean allowsLabels(Collection<String> labels) {
        return requiredLabel.isEmpty() || labels.contains(requiredLabel);
    }
}
