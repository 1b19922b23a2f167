package org.knapweedbank.jobs;

/**
 * Where the tasks of a step may run.
 *
 * @param requiredLabel label that the VM must have, empty if any VM will do
 * @param preferredRack rack that holds the data, empty if none
 * @param sameRack the tasks are slower when they are spread over several racks
 * @param maxPerVm largest number of tasks of the step on one VM, 0 if not limited
 */
public record PlacementRule(
        String requiredLabel, String preferredRack, boolean sameRack, int maxPerVm) {
    /** Any VM will do. */
    public static final PlacementRule ANYWHERE = new PlacementRule("", "", false, 0);
}
