package org.knapweedbank.routing;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

/**
 * Decides when a second attempt is sent while the first is still open. The delay is a high
 * percentile of the recent latencies of the service, so that few requests are hedged in normal
 * operation, and the budget bounds their share when all upstreams are slow. Used from one thread.
 */
public final class HedgePolicy {
    private static final int SAMPLES = 256;

    /** Number of new samples after which the percentile is computed again. */
    private static final int REFRESH = 64;

    private final RetryBudget mBudget;
    private final double mPercentile;
    private final long[] mLatencies = new long[SAMPLES];
    private int mCount;
    private int mSinceRefresh;
    private long mDelayNanos;

    /**
     * Creates a policy.
     *
     * @param budget budget of hedged attempts
     * @param percentile percentile of the latencies used as delay, from 0 to 1 (exclusive)
     */
    public HedgePolicy(RetryBudget budget, double percentile) {
        mBudget = budget;
        mPercentile = percentile;
    }

    /**
     * Creates a policy that never hedges.
     *
     * @return the policy
     */
    public static HedgePolicy none() {
        return new HedgePolicy(new RetryBudget(0, 0), 0);
    }

    /** Counts a request of a caller. */
    public void deposit() {
        mBudget.deposit();
    }

    /**
     * Adds the latency of an answered request.
     *
     * @param nanos time from the first attempt to the answer, in nanoseconds
     */
    public void answered(long nanos) {
        mLatencies[mCount % SAMPLES] = nanos;
        mCount++;
        mSinceRefresh++;
        if (mSinceRefresh >= REFRESH) {
            mSinceRefresh = 0;
            refresh();
        }
    }

    /**
     * Delay after which an idempotent request may be hedged.
     *
     * @return the delay, or empty before enough latencies are known
     */
    public Optional<Duration> delay() {
        return mDelayNanos == 0 ? Optional.empty() : Optional.of(Duration.ofNanos(mDelayNanos));
    }

    /**
     * Takes one hedged attempt from the budget.
     *
     * @return false if the budget is used up
     */
    public boolean withdraw() {
        return mBudget.withdraw();
    }

    private void refresh() {
        int size = Math.min(mCount, SAMPLES);
        long[] sorted = Arrays.copyOf(mLatencies, size);
        Arrays.sort(sorted);
        mDelayNanos = Math.max(1, sorted[(int) (mPercentile * size)]);
    }
}
