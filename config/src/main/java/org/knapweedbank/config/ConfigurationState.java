package org.knapweedbank.config;

import java.util.Optional;

/**
 * What the store holds about the generation in force.
 *
 * @param head the head, or empty before the first generation
 * @param headRevision store revision of the head's last change, 0 if there is none
 * @param generation the document, or empty if there is none or if it is damaged
 */
public record ConfigurationState(
        Optional<ConfigurationHead> head,
        long headRevision,
        Optional<StoredGeneration> generation) {
    /** Nothing stored yet. */
    static final ConfigurationState EMPTY =
            new ConfigurationState(Optional.empty(), 0, Optional.empty());

    /**
     * Number of the generation in force.
     *
     * @return the generation, 0 if there is none
     */
    public long number() {
        return head.map(ConfigurationHead::generation).orElse(0L);
    }
}
