package org.knapweedbank.entry.upstream;

import java.time.Duration;
import java.util.Optional;
import org.knapweedbank.routing.HedgePolicy;
import org.knapweedbank.routing.RequestPlan;
import org.knapweedbank.routing.RequestRules;
import org.knapweedbank.routing.RetryBudget;
import org.knapweedbank.routing.UpstreamSelector;
import org.knapweedbank.time.Clock;

/**
 * Upstream selector, retry budget and hedge policy of one service. Used on the routing event loop
 * only.
 */
public final class ServiceRouting {
    /** Fraction of the requests that may be retried. */
    private static final double RETRY_RATIO = 0.1;

    /** Number of unused retries that can accumulate. */
    private static final double RETRY_BURST = 20;

    /** Fraction of the requests that may be hedged. */
    private static final double HEDGE_RATIO = 0.02;

    /** Number of unused hedges that can accumulate. */
    private static final double HEDGE_BURST = 5;

    /** Latency percentile after which a request is hedged. */
    private static final double HEDGE_PERCENTILE = 0.95;

    private final UpstreamSelector mSelector;
    private final RetryBudget mRetryBudget = new RetryBudget(RETRY_RATIO, RETRY_BURST);
    private final HedgePolicy mHedgePolicy =
            new HedgePolicy(new RetryBudget(HEDGE_RATIO, HEDGE_BURST), HEDGE_PERCENTILE);
    private final Clock mClock;

    ServiceRouting(UpstreamSelector selector, Clock clock) {
        mSelector = selector;
        mClock = clock;
    }

    UpstreamSelector selector() {
        return mSelector;
    }

    /**
     * Creates the plan that decides on the attempts of one request.
     *
     * @param rules properties of the request
     * @return the plan
     */
    public RequestPlan newPlan(RequestRules rules) {
        return new RequestPlan(rules, mSelector, mRetryBudget, mHedgePolicy, mClock);
    }

    /**
     * Returns the smallest response delay expected of any upstream now.
     *
     * @return the delay, or empty if no upstream can accept a request
     */
    public Optional<Duration> expectedDelay() {
        return mSelector.expectedDelay();
    }
}
