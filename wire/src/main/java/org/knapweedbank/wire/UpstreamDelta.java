package org.knapweedbank.wire;

import java.util.List;

/**
 * Changed upstream records, from the owner of their partition to other entries.
 *
 * @param partition the partition
 * @param epoch epoch of the partition's owner
 * @param snapshot true if the records are all those of the partition
 * @param records the records
 */
public record UpstreamDelta(
        int partition, long epoch, boolean snapshot, List<UpstreamRecord> records)
        implements Message {
    /** Copies the lists. */
    public UpstreamDelta {
        records = List.copyOf(records);
    }
}
