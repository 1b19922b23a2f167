package org.knapweedbank.store.journal;

import io.smallrye.mutiny.Uni;
import java.util.function.Consumer;
import org.knapweedbank.store.StoreResult;

/**
 * Journal of one partition under one ownership. Records are opaque bytes. Appends are collected for
 * the commit interval and written as one log segment; segments are written in order, one at a time,
 * each guarded by the epoch key. After {@link JournalOutcome.Fenced} nothing more is written.
 */
public interface PartitionJournal {
    /**
     * Reads snapshot and log, in pages within the store's value and answer limits.
     *
     * @return the state; {@link StoreResult.Rejected} when a segment is missing or malformed
     */
    Uni<StoreResult<JournalContents>> load();

    /**
     * Appends a record to the next segment. Retries until the segment is written, or the journal is
     * fenced or closed; an unknown outcome is resolved by reading the segment back.
     *
     * @param record the record
     * @param listener told the outcome, in order of appends; the call must not block
     * @return false if too many records are waiting; the record is not taken then
     */
    boolean append(byte[] record, Consumer<JournalOutcome> listener);

    /**
     * Replaces the log by a snapshot that contains the effect of all records appended before this
     * call. A snapshot of more than one value's size is split over several keys.
     *
     * @param snapshot the state
     * @param listener told the outcome
     * @return false if a snapshot is already being written
     */
    boolean compact(byte[] snapshot, Consumer<JournalOutcome> listener);

    /**
     * Number of log segments since the last snapshot.
     *
     * @return the count
     */
    int segments();

    /** Stops writing. Records not written get {@link JournalOutcome.Closed}. */
    void close();
}
