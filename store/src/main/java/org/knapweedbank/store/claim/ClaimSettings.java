package org.knapweedbank.store.claim;

import java.time.Duration;

/**
 * Limits of the claim store.
 *
 * @param window shortest time between two writes of one entry if there were no other entries
 * @param maxPerWrite number of claims in one write; the service takes 128 operations at most
 * @param maxWritesInFlight number of writes under way at a time
 * @param maxWaiting number of claims and releases that may wait
 * @param retention shortest time for which a claim is kept
 * @param leaseInterval time for which new claims are put under the same store lease
 * @param retryDelay delay before a failed release or lease grant is repeated
 * @param releaseLimit time after which a release that fails is given up
 */
public record ClaimSettings(
        Duration window,
        int maxPerWrite,
        int maxWritesInFlight,
        int maxWaiting,
        Duration retention,
        Duration leaseInterval,
        Duration retryDelay,
        Duration releaseLimit) {
    /**
     * Values of the design: writes of up to 100 claims, 20 ms apart, kept for 24 h under one store
     * lease an hour.
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
