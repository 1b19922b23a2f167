package org.knapweedbank.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import java.util.TreeSet;

/**
 * A generation of the configuration as kept in the store.
 *
 * @param generation the generation number
 * @param removed names of the data centres out of service
 * @param document the merged configuration document
 */
public record StoredGeneration(long generation, Set<String> removed, ObjectNode document) {
    /** Copies the set, sorted by name. */
    public StoredGeneration {
        removed = new TreeSet<>(removed);
    }

    /**
     * Converts the stored document to a configuration.
     *
     * @return the configuration
     */
    public SiteConfiguration configuration() {
        return ConfigurationBinder.bind(document, generation, removed);
    }
}
