package org.knapweedbank.config;

import java.util.Optional;

/**
 * Holds what the store contains about the generation in force.
 *
 * @param head the head, or empty before the first generation
 * @param headRevision store revision at which the head was last modified, 0 if there is no head
 * @param generation the stored generation with its document, or empty if it is missing or damaged
 */
public record ConfigurationState(
        Optional<ConfigurationHead> head,
        long headRevision,
        Optional<StoredGeneration> generation) {
    /** State of a store that holds no generation yet. */
    static final ConfigurationState EMPTY =
            new ConfigurationState(Optional.empty(), 0, Optional.empty());

    /**
     * Returns the number of the generation in force.
     *
     * @return the generation number, 0 if there is none
     */
    public long generationNumber() {
        return head.map(ConfigurationHead::generation).orElse(0L);
    }
}
