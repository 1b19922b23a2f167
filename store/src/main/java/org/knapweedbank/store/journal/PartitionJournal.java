package org.knapweedbank.store.journal;

import io.smallrye.mutiny.Uni;
import java.util.function.Consumer;
import org.knapweedbank.store.StoreResult;

/**
 * Journal of one partition, written by the owner of the partition. Records are opaque bytes. The
 * records appended during a commit interval are written as one log segment. Segments are written in
 * order, one at a time, each on the condition that the epoch key is unchanged. After {@link
 * JournalOutcome.Fenced} nothing more is written.
 */
public interface PartitionJournal {
    /**
     * Reads the snapshot and the log in pages, within the store's limits on values and responses.
     *
     * @return the contents; {@link StoreResult.Rejected} if a segment or the snapshot is malformed
     *     or a part of them is missing
     */
    Uni<StoreResult<JournalContents>> load();

    /**
     * Appends a record to the next segment. The write is retried until the segment is written or
     * the journal is fenced or closed; an unknown outcome is resolved by reading the segment back.
     *
     * @param record the record
     * @param listener receives the outcome, in the order of the appends; it must not block
     * @return false if too many records wait to be written; the record is not appended then
     */
    boolean append(byte[] record, Consumer<JournalOutcome> listener);

    /**
     * Replaces the log by a snapshot that includes the effect of all records appended before this
     * call. A snapshot that does not fit into one value is split over several keys.
     *
     * @param snapshot encoded state of the partition
     * @param listener receives the outcome; it must not block
     * @return false if a snapshot is already being written
     */
    boolean compact(byte[] snapshot, Consumer<JournalOutcome> listener);

    /**
     * Returns the number of log segments since the last snapshot.
     *
     * @return number of segments
     */
    int segmentCount();

    /** Stops writing. Pending records get {@link JournalOutcome.Closed}. */
    void close();
}
