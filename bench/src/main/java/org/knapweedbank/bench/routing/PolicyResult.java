package org.knapweedbank.bench.routing;

import org.HdrHistogram.Histogram;

/** Outcomes and latencies of one simulated run. */
final class PolicyResult {
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram mLatencyNanos = new Histogram(SIGNIFICANT_DIGITS);
    private long mAnswerCount;
    private long mRefusalCount;
    private long mFailureCount;

    /** Number of attempts beyond the first of their request. */
    private long mRepeatedAttempts;

    /** Records an answered request with its latency in nanoseconds. */
    void recordAnswer(long nanos) {
        mAnswerCount++;
        mLatencyNanos.recordValue(nanos);
    }

    /** Records a request that was refused and not executed. */
    void recordRefusal() {
        mRefusalCount++;
    }

    /** Records a request that may have been executed but has no answer. */
    void recordFailure() {
        mFailureCount++;
    }

    /**
     * Records that an attempt has been sent.
     *
     * @param attempt number of the attempt within its request, from 1; higher ones are retries or
     *     hedges
     */
    void recordAttempt(int attempt) {
        if (attempt > 1) {
            mRepeatedAttempts++;
        }
    }

    /** Returns the number of requests with an outcome. */
    long requestCount() {
        return mAnswerCount + mRefusalCount + mFailureCount;
    }

    /** Returns a percentile of the latencies of answered requests. */
    double latencyMillis(double percentile) {
        return mLatencyNanos.getValueAtPercentile(percentile) / 1e6;
    }

    double refusedPercent() {
        return 100.0 * mRefusalCount / requestCount();
    }

    double failedPercent() {
        return 100.0 * mFailureCount / requestCount();
    }

    /** Returns the attempts beyond the first of their request, in percent of the requests. */
    double repeatedPercent() {
        return 100.0 * mRepeatedAttempts / requestCount();
    }
}
