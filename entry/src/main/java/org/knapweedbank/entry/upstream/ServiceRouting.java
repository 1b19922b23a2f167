package org.knapweedbank.entry.upstream;

import java.time.Duration;
import java.util.Optional;
import org.knapweedbank.routing.HedgePolicy;
import org.knapweedbank.routing.RequestPlan;
import org.knapweedbank.routing.RequestRules;
import org.knapweedbank.routing.RetryBudget;
import org.knapweedbank.routing.UpstreamSelector;
import org.knapweedbank.time.Clock;

/** Routing state of one service. Used on the routing event loop only. */
public final class ServiceRouting {
    /** Share of the requests that may be retried, and the retries that can be saved up. */
    private static final double RETRY_SHARE = 0.1;

    private static final double RETRY_RESERVE = 20;

    /** Share of the requests that may be hedged, and the hedges that can be saved up. */
    private static final double HEDGE_SHARE = 0.02;

    private static final double HEDGE_RESERVE = 5;
    private static final double HEDGE_PERCENTILE = 0.95;

    private final UpstreamSelector mSelector;
    private final RetryBudget mRetries = new RetryBudget(RETRY_SHARE, RETRY_RESERVE);
    private final HedgePolicy mHedges =
            new HedgePolicy(new RetryBudget(HEDGE_SHARE, HEDGE_RESERVE), HEDGE_PERCENTILE);
    private final Clock mClock;

    ServiceRouting(UpstreamSelector selector, Clock clock) {
        mSelector = selector;
        mClock = clock;
    }

    UpstreamSelector selector() {
        return mSelector;
    }

    /**
     * Creates the plan of a request.
     *
     * @param rules properties of the request
     * @return the plan
     */
    public RequestPlan plan(RequestRules rules) {
        return new RequestPlan(rules, mSelector, mRetries, mHedges, mClock);
    }

    /**
     * Smallest delay until an answer that is expected now.
     *
     * @return the delay, or empty when no upstream can take a request
     */
    public Optional<Duration> expectedDelay() {
        return mSelector.expectedDelay();
    }
}
