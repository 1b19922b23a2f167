package org.knapweedbank.soak;

/**
 * Size of a deployment.
 *
 * @param entries number of entries
 * @param workers number of workers, each with an agent
 */
record DeploymentSize(int entries, int workers) {
    private static final int MAX_ENTRIES = 3;

    /** Splits a number of VMs among entries and workers; each has at least one. */
    static DeploymentSize ofVms(int vms) {
        int entries = Math.clamp(vms / 3, 1, MAX_ENTRIES);
        return new DeploymentSize(entries, Math.max(1, vms - entries));
    }
}
