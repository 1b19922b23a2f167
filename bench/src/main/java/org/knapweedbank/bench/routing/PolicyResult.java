package org.knapweedbank.bench.routing;

import org.HdrHistogram.Histogram;

/** Counts of one simulated run. */
final class PolicyResult {
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram mLatencyNanos = new Histogram(SIGNIFICANT_DIGITS);
    private long mAnswerCount;
    private long mRefusalCount;
    private long mFailureCount;
    private long mRetryCount;

    void recordAnswer(long nanos) {
        mAnswerCount++;
        mLatencyNanos.recordValue(nanos);
    }

    void recordRefusal() {
        mRefusalCount++;
    }

    void recordFailure() {
        mFailureCount++;
    }

    void recordAttempt(int attempt) {
        if (attempt > 1) {
            mRetryCount++;
        }
    }

    long requestCount() {
        return mAnswerCount + mRefusalCount + mFailureCount;
    }

    double latencyMillis(double percentile) {
        return mLatencyNanos.getValueAtPercentile(percentile) / 1e6;
    }

    double refusedPercent() {
        return 100.0 * mRefusalCount / requestCount();
    }

    double failedPercent() {
        return 100.0 * mFailureCount / requestCount();
    }

    double repeatedPercent() {
        return 100.0 * mRetryCount / requestCount();
    }
}
