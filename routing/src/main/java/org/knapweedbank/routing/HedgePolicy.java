package org.knapweedbank.routing;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

/**
 * Decides when to send a hedged attempt while the first attempt is still open. The delay is a high
 * percentile of the recent latencies of the service, so that few requests are hedged in normal
 * operation. A budget limits the share of hedged requests when all upstreams are slow. Not
 * thread-safe.
 */
public final class HedgePolicy {
    /** Number of most recent latencies from which the delay is computed. */
    private static final int MAX_SAMPLES = 256;

    /** Number of new latencies after which the delay is recomputed. */
    private static final int REFRESH_SAMPLES = 64;

    private final RetryBudget mBudget;
    private final double mPercentile;
    private final long[] mLatenciesNanos = new long[MAX_SAMPLES];
    private int mCount;
    private int mSamplesSinceRefresh;
    private long mDelayNanos;

    /**
     * Creates a policy.
     *
     * @param budget budget for hedged attempts
     * @param percentile percentile of the latencies that is used as the delay, at least 0 and below
     *     1
     */
    public HedgePolicy(RetryBudget budget, double percentile) {
        mBudget = budget;
        mPercentile = percentile;
    }

    /**
     * Returns a policy that never hedges.
     *
     * @return the policy
     */
    public static HedgePolicy none() {
        return new HedgePolicy(new RetryBudget(0, 0), 0);
    }

    /** Adds the share of one caller request to the budget. */
    public void recordRequest() {
        mBudget.recordRequest();
    }

    /**
     * Records the latency of an answered request.
     *
     * @param nanos time from the start of the request to the end of its answer, in nanoseconds
     */
    public void recordLatency(long nanos) {
        mLatenciesNanos[mCount % MAX_SAMPLES] = nanos;
        mCount++;
        mSamplesSinceRefresh++;
        if (mSamplesSinceRefresh >= REFRESH_SAMPLES) {
            mSamplesSinceRefresh = 0;
            refreshDelay();
        }
    }

    /**
     * Returns the delay after which an idempotent request may be hedged.
     *
     * @return the delay, or empty until enough latencies have been recorded
     */
    public Optional<Duration> delay() {
        return mDelayNanos == 0 ? Optional.empty() : Optional.of(Duration.ofNanos(mDelayNanos));
    }

    /**
     * Takes one hedged attempt from the budget.
     *
     * @return true if the attempt may be sent, false if the budget is exhausted
     */
    public boolean tryWithdraw() {
        return mBudget.tryWithdraw();
    }

    private void refreshDelay() {
        int size = Math.min(mCount, MAX_SAMPLES);
        long[] sorted = Arrays.copyOf(mLatenciesNanos, size);
        Arrays.sort(sorted);
        mDelayNanos = Math.max(1, sorted[(int) (mPercentile * size)]);
    }
}
