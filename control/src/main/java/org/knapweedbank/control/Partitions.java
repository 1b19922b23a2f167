package org.knapweedbank.control;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.knapweedbank.config.DataCentreSettings;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.VmId;

/**
 * Maps VMs and jobs to partitions, and ranks entries as owners of a partition. The mapping of VMs
 * and jobs depends on the configuration only.
 */
public final class Partitions {
    private Partitions() {}

    /**
     * Returns the number of partitions of a site.
     *
     * @param configuration configuration of the site
     * @return the number of partitions, at least 1
     */
    public static int count(SiteConfiguration configuration) {
        return configuration.partitionCount();
    }

    /**
     * Returns the partition of a VM, chosen among the partitions of its region by a hash of its
     * identifier.
     *
     * @param configuration configuration of the site
     * @param region region of the VM
     * @param vm identifier of the VM
     * @return the partition, or empty if the configuration does not contain the region
     */
    public static Optional<Integer> ofVm(SiteConfiguration configuration, String region, VmId vm) {
        int index = regions(configuration).indexOf(region);
        if (index < 0) {
            return Optional.empty();
        }
        int perRegion = configuration.partitionsPerRegion();
        return Optional.of(index * perRegion + hash(vm.value()) % perRegion);
    }

    /**
     * Returns the partition of a job, chosen by a hash of its identifier.
     *
     * @param configuration configuration of the site
     * @param job identifier of the job
     * @return the partition
     */
    public static int ofJob(SiteConfiguration configuration, JobId job) {
        return hash(job.value()) % count(configuration);
    }

    /**
     * Returns the region of a partition.
     *
     * @param configuration configuration of the site
     * @param partition number of the partition
     * @return the region, or empty if the configuration does not contain the partition
     */
    public static Optional<String> region(SiteConfiguration configuration, int partition) {
        List<String> regions = regions(configuration);
        int index = partition / configuration.partitionsPerRegion();
        return index < regions.size() ? Optional.of(regions.get(index)) : Optional.empty();
    }

    /**
     * Returns the rank of an entry among the candidates for a partition without an owner, by
     * rendezvous hashing.
     *
     * @param partition number of the partition
     * @param entry identifier of the entry
     * @param entries identifiers of all known entries
     * @return the rank, 0 for the preferred entry
     */
    public static int rank(int partition, String entry, List<String> entries) {
        int own = hash(partition + "@" + entry);
        return (int)
                entries.stream()
                        .filter(other -> !other.equals(entry))
                        .filter(other -> hash(partition + "@" + other) > own)
                        .count();
    }

    private static List<String> regions(SiteConfiguration configuration) {
        return configuration.dataCentres().stream()
                .map(DataCentreSettings::region)
                .distinct()
                .sorted()
                .toList();
    }

    private static int hash(String text) {
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return (int) (crc.getValue() & Integer.MAX_VALUE);
    }
}
