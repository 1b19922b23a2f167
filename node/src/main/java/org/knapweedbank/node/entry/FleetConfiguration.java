package org.knapweedbank.node.entry;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.knapweedbank.jobs.JobQueue;

/**
 * One version of the configuration.
 *
 * @param version number of the version
 * @param queues the queues
 * @param maxBodyBytes largest body of a request
 */
public record FleetConfiguration(long version, List<JobQueue> queues, int maxBodyBytes) {
    /** Copies the list. */
    public FleetConfiguration {
        queues = List.copyOf(queues);
    }

    /**
     * Finds the queue of a request: that with the longest prefix of its path.
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
