package org.knapweedbank.bench.routing;

import org.apache.commons.rng.UniformRandomProvider;
import org.knapweedbank.routing.HedgePolicy;
import org.knapweedbank.routing.RetryBudget;
import org.knapweedbank.time.Clock;

/** Policies that are compared. */
enum Policy {
    /** The product. */
    PRODUCT(null),
    /** Each upstream in turn. */
    ROUND_ROBIN("round-robin"),
    /** The upstream with the fewest open requests. */
    LEAST_CONNECTIONS("least-connections"),
    /** The product without a limit on retries. */
    NO_RETRY_BUDGET("no-retry-budget");

    private static final double RETRY_SHARE = 0.1;
    private static final double RETRY_RESERVE = 20;
    private static final double HEDGE_SHARE = 0.02;
    private static final double HEDGE_RESERVE = 5;
    private static final double HEDGE_PERCENTILE = 0.95;

    private final String mBaseline;

    Policy(String baseline) {
        mBaseline = baseline;
    }

    /** Name of the baseline, or null for the product. */
    String baseline() {
        return mBaseline;
    }

    SimulatedPool pool(int dataCentre, Clock clock, UniformRandomProvider random) {
        return switch (this) {
            case PRODUCT, NO_RETRY_BUDGET -> new SelectorPool(dataCentre, clock, random);
            case ROUND_ROBIN -> new RoundRobinPool();
            case LEAST_CONNECTIONS -> new LeastConnectionsPool(random);
        };
    }

    RetryBudget retries() {
        return this == NO_RETRY_BUDGET
                ? new RetryBudget(1, Integer.MAX_VALUE)
                : new RetryBudget(RETRY_SHARE, RETRY_RESERVE);
    }

    HedgePolicy hedges() {
        return this == PRODUCT || this == NO_RETRY_BUDGET
                ? new HedgePolicy(new RetryBudget(HEDGE_SHARE, HEDGE_RESERVE), HEDGE_PERCENTILE)
                : HedgePolicy.none();
    }
}
