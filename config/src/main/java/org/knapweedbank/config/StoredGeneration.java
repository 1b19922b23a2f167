package org.knapweedbank.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import java.util.TreeSet;

/**
 * A generation as kept in the store.
 *
 * @param generation the generation
 * @param removed names of the data centres out of service
 * @param document the merged document
 */
public record StoredGeneration(long generation, Set<String> removed, ObjectNode document) {
    /** Copies the set in order of name. */
    public StoredGeneration {
        removed = new TreeSet<>(removed);
    }

    /**
     * The settings that the generation holds.
     *
     * @return the configuration
     */
    public SiteConfiguration configuration() {
        return ConfigurationBinder.bind(document, generation, removed);
    }
}
