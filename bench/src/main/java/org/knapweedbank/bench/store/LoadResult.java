package org.knapweedbank.bench.store;

import org.HdrHistogram.Histogram;

/**
 * Result of one run. Rates are per second of simulated time.
 *
 * @param writesPerSecond store calls that write
 * @param readsPerSecond store calls that only read
 * @param bytesWrittenPerSecond bytes of written keys and values
 * @param largestValueBytes size of the largest written value
 * @param commitMillis times from the append of a record to its commit
 * @param claimMillis times from a claim to its result
 * @param cpuCores processor time of the run for each second of simulated time
 * @param failures number of records and claims that did not succeed, and of lost leases
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
