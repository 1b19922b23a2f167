package org.knapweedbank.store.claim;

import java.time.Duration;

/**
 * Limits of the claim store.
 *
 * @param minWriteInterval minimum time between two writes of an entry if it is the only one;
 *     multiplied by the number of entries
 * @param maxChangesPerWrite maximum number of claims and releases in one write; the service accepts
 *     at most 128 operations in a transaction
 * @param maxWritesInFlight maximum number of concurrent writes
 * @param maxPendingChanges maximum number of claims and releases that wait to be written
 * @param retention minimum time for which a claim is kept
 * @param leaseRotationInterval time for which new claims use the same store lease
 * @param retryDelay delay before a failed release or a failed lease request is repeated
 * @param releaseTimeout time after which a failing release is no longer repeated
 */
public record ClaimSettings(
        Duration minWriteInterval,
        int maxChangesPerWrite,
        int maxWritesInFlight,
        int maxPendingChanges,
        Duration retention,
        Duration leaseRotationInterval,
        Duration retryDelay,
        Duration releaseTimeout) {
    /**
     * Returns the default settings: writes of up to 100 claims at intervals of 20 ms; claims are
     * kept for 24 h, with a new store lease every hour.
     *
     * @return the settings
     */
    public static ClaimSettings standard() {
        return new ClaimSettings(
                Duration.ofMillis(20),
                100,
                4,
                4_000,
                Duration.ofHours(24),
                Duration.ofHours(1),
                Duration.ofMillis(500),
                Duration.ofMinutes(1));
    }
}
