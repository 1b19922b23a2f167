package org.knapweedbank.control;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.knapweedbank.config.DataCentreSettings;
import org.knapweedbank.config.SiteConfiguration;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.VmId;

/** Maps VMs and jobs to partitions. The mapping depends on the configuration only. */
public final class Partitions {
    private Partitions() {}

    /**
     * Number of partitions of a site.
     *
     * @param configuration the configuration
     * @return the number, at least 1
     */
    public static int count(SiteConfiguration configuration) {
        return Math.max(1, regions(configuration).size()) * configuration.partitionsPerRegion();
    }

    /**
     * Partition of a VM: one of its region, chosen by a hash of its identifier.
     *
     * @param configuration the configuration
     * @param region region of the VM
     * @param vm the VM
     * @return the partition, or empty when the configuration does not know the region
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
     * Partition of a job, chosen by a hash of its identifier.
     *
     * @param configuration the configuration
     * @param job the job
     * @return the partition
     */
    public static int ofJob(SiteConfiguration configuration, JobId job) {
        return hash(job.value()) % count(configuration);
    }

    /**
     * Region of a partition.
     *
     * @param configuration the configuration
     * @param partition the partition
     * @return the region, or empty when the partition is not in the configuration
     */
    public static Optional<String> region(SiteConfiguration configuration, int partition) {
        List<String> regions = regions(configuration);
        int index = partition / configuration.partitionsPerRegion();
        return index < regions.size() ? Optional.of(regions.get(index)) : Optional.empty();
    }

    /**
     * Position of an entry in the order in which entries take a partition without an owner, by
     * rendezvous hashing.
     *
     * @param partition the partition
     * @param entry identifier of the entry
     * @param entries identifiers of all entries known
     * @return 0 for the entry that goes first
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
