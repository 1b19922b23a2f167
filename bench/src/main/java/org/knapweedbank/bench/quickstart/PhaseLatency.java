package org.knapweedbank.bench.quickstart;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Latencies of the requests of one load phase, through the entries and straight to the upstreams.
 */
final class PhaseLatency {
    private static final double MICROS_PER_MILLI = 1_000;

    private final Histogram mEntryMicros = new ConcurrentHistogram(3);
    private final Histogram mDirectMicros = new ConcurrentHistogram(3);

    /**
     * Percentiles of the latencies in milliseconds.
     *
     * @param p50 median through the entries
     * @param p99 99th percentile through the entries
     * @param directP50 median of the same requests sent straight to the upstreams
     * @param directP99 99th percentile of the direct requests
     */
    record Summary(double p50, double p99, double directP50, double directP99) {}

    void recordThroughEntries(long micros) {
        mEntryMicros.recordValue(micros);
    }

    void recordDirect(long micros) {
        mDirectMicros.recordValue(micros);
    }

    Summary summary() {
        return new Summary(
                millis(mEntryMicros, 50),
                millis(mEntryMicros, 99),
                millis(mDirectMicros, 50),
                millis(mDirectMicros, 99));
    }

    private static double millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
