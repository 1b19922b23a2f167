package org.knapweedbank.bench.store;

import org.HdrHistogram.Histogram;

/**
 * Figures of one run, per second of simulated time.
 *
 * @param writes calls that change the store
 * @param reads other calls
 * @param bytesWritten bytes of keys and values written
 * @param largestValue bytes of the largest value
 * @param commitMillis time from an append to its outcome
 * @param claimMillis time from a claim to its result
 * @param processorShare processor time of the run, in cores
 * @param failures records and claims that did not succeed
 */
record LoadResult(
        double writes,
        double reads,
        double bytesWritten,
        long largestValue,
        Histogram commitMillis,
        Histogram claimMillis,
        double processorShare,
        long failures) {}
