package org.knapweedbank.wire;

import java.util.List;

/**
 * Changes of upstream records, sent by the owner of their partition to the other entries.
 *
 * @param partition number of the partition
 * @param epoch epoch of the partition's owner
 * @param snapshot true if the message holds all records of the partition, not only changed ones
 * @param records the upstream records
 */
public record UpstreamDelta(
        int partition, long epoch, boolean snapshot, List<UpstreamRecord> records)
        implements Message {
    /** Makes unmodifiable copies of the lists. */
    public UpstreamDelta {
        records = List.copyOf(records);
    }
}
