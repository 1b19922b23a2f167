package org.knapweedbank.wire;

import java.util.List;
import org.knapweedbank.model.DataCentreId;

/**
 * Distributes a configuration generation.
 *
 * @param generation configuration generation
 * @param removed data centres that are out of service
 * @param document settings that apply to the receiver, as JSON
 */
public record ConfigPush(long generation, List<DataCentreId> removed, String document)
        implements Message {
    /** Makes unmodifiable copies of the lists. */
    public ConfigPush {
        removed = List.copyOf(removed);
    }
}
