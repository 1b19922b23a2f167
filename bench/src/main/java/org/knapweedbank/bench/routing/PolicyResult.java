package org.knapweedbank.bench.routing;

import org.HdrHistogram.Histogram;

/** Counts of one simulated run. */
final class PolicyResult {
    private static final int DIGITS = 3;

    private final Histogram mLatency = new Histogram(DIGITS);
    private long mAnswered;
    private long mRefused;
    private long mFailed;
    private long mRepeated;

    void answered(long nanos) {
        mAnswered++;
        mLatency.recordValue(nanos);
    }

    void refused() {
        mRefused++;
    }

    void failed() {
        mFailed++;
    }

    void sent(int attempt) {
        if (attempt > 1) {
            mRepeated++;
        }
    }

    long total() {
        return mAnswered + mRefused + mFailed;
    }

    double latencyMillis(double percentile) {
        return mLatency.getValueAtPercentile(percentile) / 1e6;
    }

    double refusedPercent() {
        return 100.0 * mRefused / total();
    }

    double failedPercent() {
        return 100.0 * mFailed / total();
    }

    double repeatedPercent() {
        return 100.0 * mRepeated / total();
    }
}
