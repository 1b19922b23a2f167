package org.knapweedbank.bench.store;

import java.time.Duration;

/**
 * Settings of one run.
 *
 * @param partitions number of partitions, each with its own journal
 * @param startsPerSecond task starts a second over all partitions
 * @param recordsPerStart number of journal records for each start
 * @param recordBytes size of a journal record
 * @param claimsPerSecond claims of idempotency keys a second over all entries
 * @param entries number of entries, each with a claim store, a lease and a prefix view
 * @param shareWindow true if the write window of the claim stores grows with the number of entries
 * @param segmentsPerSnapshot number of journal segments after which a snapshot is written
 * @param snapshotBytes size of a snapshot
 * @param storeDelay delay of each answer of the store
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
    /**
     * Returns the load at the target size.
     *
     * @param entries number of entries over which the claims are spread
     * @param shareWindow true if the write window grows with the number of entries
     */
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

    /** Returns the description of the input for the report. */
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
