package org.knapweedbank.config;

import org.knapweedbank.model.Resources;

/**
 * Quota of a team and its share of resources beyond the quota.
 *
 * @param name name of the team
 * @param deserved resources that the team may always use: its quota
 * @param weight weight in the division of resources beyond the quotas, above 0
 * @param priority priority in the division of resources beyond the quotas; higher values come first
 */
public record TeamSettings(String name, Resources deserved, double weight, int priority) {
    /**
     * Returns the part of the quota that applies in one partition. The quota is divided equally, as
     * a hash distributes the VMs evenly, and each component is rounded up.
     *
     * @param partitions number of partitions of the site, at least 1
     * @return the quota in each partition
     */
    public Resources deservedPerPartition(int partitions) {
        return new Resources(
                divideUp(deserved.milliCpu(), partitions),
                divideUp(deserved.memoryMb(), partitions),
                (int) divideUp(deserved.accelerators(), partitions));
    }

    private static long divideUp(long amount, int parts) {
        return (amount + parts - 1) / parts;
    }
}
