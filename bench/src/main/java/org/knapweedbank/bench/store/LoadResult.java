package org.knapweedbank.bench.store;

import org.HdrHistogram.Histogram;

/**
 * Figures of one run, per second of simulated time.
 *
 * @param writesPerSecond calls that change the store
 * @param readsPerSecond other calls
 * @param bytesWrittenPerSecond bytes of keys and values written
 * @param largestValueBytes bytes of the largest value
 * @param commitMillis time from an append to its outcome
 * @param claimMillis time from a claim to its result
 * @param cpuCores processor time of the run, in cores
 * @param failures records and claims that did not succeed
 */
record LoadResult(
        double writesPerSecond,
        double readsPerSecond,
        double bytesWrittenPerSecond,
        long largestValueBytes,
        Histogram commitMillis,
        Histogram claimMillis,
        double cpuCores,
        long failures) {}
