package org.knapweedbank.store.journal;

import java.time.Duration;

/**
 * Limits of a journal.
 *
 * @param commitInterval longest wait of a record before its segment is written
 * @param maxWaiting number of records that may wait
 * @param maxSegmentBytes size of a segment with more than one record
 * @param maxValueBytes largest value that the store takes
 * @param retryDelay first delay before a failed write is repeated; doubled up to 16 times
 */
public record JournalSettings(
        Duration commitInterval,
        int maxWaiting,
        int maxSegmentBytes,
        int maxValueBytes,
        Duration retryDelay) {
    /**
     * Values of the design: 50 ms, and sizes well below the store's limit of 1 MB. A segment is
     * kept to 256 KB so that a page of a few segments can be read at once.
     *
     * @return the settings
     */
    public static JournalSettings standard() {
        return new JournalSettings(
                Duration.ofMillis(50), 20_000, 256_000, 900_000, Duration.ofMillis(100));
    }
}
