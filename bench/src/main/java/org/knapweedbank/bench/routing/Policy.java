package org.knapweedbank.bench.routing;

import org.apache.commons.rng.UniformRandomProvider;
import org.knapweedbank.routing.HedgePolicy;
import org.knapweedbank.routing.RetryBudget;
import org.knapweedbank.time.Clock;

/** Routing policies that the benchmark compares. */
enum Policy {
    /** The upstream selector with a retry budget and hedging, as the entries use it. */
    UPSTREAM_SELECTOR(null),
    /** Upstreams in rotation, without hedging. */
    ROUND_ROBIN("round-robin"),
    /** The upstream with the fewest open requests, without hedging. */
    LEAST_CONNECTIONS("least-connections"),
    /** The upstream selector with hedging, without a limit on retries. */
    NO_RETRY_BUDGET("no-retry-budget");

    private static final double RETRY_TOKENS_PER_REQUEST = 0.1;
    private static final double RETRY_TOKEN_LIMIT = 20;
    private static final double HEDGE_TOKENS_PER_REQUEST = 0.02;
    private static final double HEDGE_TOKEN_LIMIT = 5;
    private static final double HEDGE_PERCENTILE = 0.95;

    private final String mBaseline;

    Policy(String baseline) {
        mBaseline = baseline;
    }

    /** Returns the name of the baseline, or null for the policy of the entries. */
    String baseline() {
        return mBaseline;
    }

    /**
     * Creates the upstream pool of one entry.
     *
     * @param dataCentre index of the entry's data centre
     * @param clock clock of the simulation
     * @param random source of random choices
     */
    SimulatedPool createPool(int dataCentre, Clock clock, UniformRandomProvider random) {
        return switch (this) {
            case UPSTREAM_SELECTOR, NO_RETRY_BUDGET -> new SelectorPool(dataCentre, clock, random);
            case ROUND_ROBIN -> new RoundRobinPool();
            case LEAST_CONNECTIONS -> new LeastConnectionsPool(random);
        };
    }

    /** Returns the retry budget of one entry. */
    RetryBudget createRetryBudget() {
        return this == NO_RETRY_BUDGET
                ? new RetryBudget(1, Integer.MAX_VALUE)
                : new RetryBudget(RETRY_TOKENS_PER_REQUEST, RETRY_TOKEN_LIMIT);
    }

    /** Returns the hedge policy of one entry. */
    HedgePolicy createHedgePolicy() {
        return this == UPSTREAM_SELECTOR || this == NO_RETRY_BUDGET
                ? new HedgePolicy(
                        new RetryBudget(HEDGE_TOKENS_PER_REQUEST, HEDGE_TOKEN_LIMIT),
                        HEDGE_PERCENTILE)
                : HedgePolicy.none();
    }
}
