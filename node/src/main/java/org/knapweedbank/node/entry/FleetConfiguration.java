package org.knapweedbank.node.entry;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.knapweedbank.jobs.JobQueue;

/**
 * One version of the configuration that operators set.
 *
 * @param version number of the version
 * @param queues the queues
 * @param maxBodyBytes maximum size of a request body
 */
public record FleetConfiguration(long version, List<JobQueue> queues, int maxBodyBytes) {
    /** Copies the list of queues. */
    public FleetConfiguration {
        queues = List.copyOf(queues);
    }

    /**
     * Finds the queue of a request, which is the one with the longest matching path prefix.
     *
     * @param host host of the request
     * @param path path of the request
     * @return the queue, empty if there is none
     */
    public Optional<JobQueue> findQueue(String host, String path) {
        return queues.stream()
                .filter(q -> q.key().host().equals(host) && path.startsWith(q.key().prefix()))
                .max(Comparator.comparingInt(q -> q.key().prefix().length()));
    }
}
