package org.knapweedbank.store.journal;

import java.time.Duration;

/**
 * Limits of a journal.
 *
 * @param commitInterval time for which records are collected before their segment is written
 * @param maxPendingRecords maximum number of records that wait to be written
 * @param maxSegmentBytes maximum size in bytes of a segment with more than one record
 * @param maxValueBytes maximum size in bytes of a value in the store
 * @param retryDelay delay before a failed write is repeated for the first time; it doubles with
 *     each failure, up to 16 times this value
 */
public record JournalSettings(
        Duration commitInterval,
        int maxPendingRecords,
        int maxSegmentBytes,
        int maxValueBytes,
        Duration retryDelay) {
    /**
     * Returns the default settings: a commit interval of 50 ms, and sizes well below the store's
     * limit of 1 MB. Segments are limited to 256 KB so that one response can hold a page of several
     * segments.
     *
     * @return the settings
     */
    public static JournalSettings standard() {
        return new JournalSettings(
                Duration.ofMillis(50), 20_000, 256_000, 900_000, Duration.ofMillis(100));
    }
}
