package org.knapweedbank.wire;

import java.util.List;
import org.knapweedbank.model.DataCentreId;

/**
 * Distributes a configuration generation.
 *
 * @param generation the generation
 * @param removed data centres that are out of service
 * @param document the settings that concern the receiver, as JSON
 */
public record ConfigPush(long generation, List<DataCentreId> removed, String document)
        implements Message {
    /** Copies the lists. */
    public ConfigPush {
        removed = List.copyOf(removed);
    }
}
