package org.knapweedbank.config;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.JobSpec;

/**
 * One generation of the configuration of a site, merged from base file and overlay and checked.
 *
 * @param generation generation number, starting at 1; increases with each accepted change
 * @param site name of the site
 * @param partitionsPerRegion number of scheduling partitions in each region
 * @param dataCentres data centres of the site
 * @param services services that callers can reach
 * @param teams teams with quotas
 * @param jobs jobs that run without being submitted by an operator
 */
public record SiteConfiguration(
        long generation,
        String site,
        int partitionsPerRegion,
        List<DataCentreSettings> dataCentres,
        List<ServiceSettings> services,
        List<TeamSettings> teams,
        List<JobSpec> jobs) {
    /** Copies the lists. */
    public SiteConfiguration {
        dataCentres = List.copyOf(dataCentres);
        services = List.copyOf(services);
        teams = List.copyOf(teams);
        jobs = List.copyOf(jobs);
    }

    /**
     * Returns the data centres that are out of service.
     *
     * @return their identifiers
     */
    public Set<DataCentreId> dataCentresOutOfService() {
        return dataCentres.stream()
                .filter(DataCentreSettings::removed)
                .map(DataCentreSettings::id)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns the number of scheduling partitions of the site.
     *
     * @return the number of partitions, at least 1
     */
    public int partitionCount() {
        long regions = dataCentres.stream().map(DataCentreSettings::region).distinct().count();
        return (int) Math.max(1, regions) * partitionsPerRegion;
    }

    /**
     * Finds a service by name.
     *
     * @param name name of the service
     * @return the settings of the service, or empty if it is not configured
     */
    public Optional<ServiceSettings> service(String name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }
}
