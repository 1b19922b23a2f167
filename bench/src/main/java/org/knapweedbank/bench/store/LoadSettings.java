package org.knapweedbank.bench.store;

import java.time.Duration;

/**
 * Load of one run.
 *
 * @param partitions number of partitions, each with its journal
 * @param startsPerSecond task starts a second over all partitions
 * @param recordsPerStart journal records for each start
 * @param recordBytes size of a record
 * @param claimsPerSecond claims of idempotency keys a second over all entries
 * @param entries number of entries, each with a claim store, a lease and a prefix view
 * @param shareWindow true if the window of the claim stores grows with the number of entries
 * @param segmentsPerSnapshot number of segments after which a snapshot is written
 * @param snapshotBytes size of a snapshot
 * @param storeDelay delay of the store's answers
 * @param duration simulated time
 * @param seed seed of the arrival times
 */
record LoadSettings(
        int partitions,
        int startsPerSecond,
        int recordsPerStart,
        int recordBytes,
        int claimsPerSecond,
        int entries,
        boolean shareWindow,
        int segmentsPerSnapshot,
        int snapshotBytes,
        Duration storeDelay,
        Duration duration,
        long seed) {
    /** The target size with claims spread over a number of entries. */
    static LoadSettings target(int entries, boolean shareWindow) {
        return new LoadSettings(
                8,
                1200,
                3,
                120,
                300,
                entries,
                shareWindow,
                400,
                600_000,
                Duration.ofMillis(2),
                Duration.ofSeconds(60),
                20261204L);
    }

    String describe() {
        return String.format(
                "seed %d, %d partitions, %d starts/s, %d claims/s over %d entries, %s windows",
                seed,
                partitions,
                startsPerSecond,
                claimsPerSecond,
                entries,
                shareWindow ? "shared" : "separate");
    }
}
