package org.knapweedbank.routing;

/**
 * Limits repeats to a share of the traffic. Each request adds its share of a repeat; each repeat
 * takes a whole one. The reserve lets a service with little traffic repeat at all. Used from one
 * thread.
 */
public final class RetryBudget {
    private final double mShare;
    private final double mReserve;
    private double mTokens;

    /**
     * Creates a full budget.
     *
     * @param share repeats allowed for each request, from 0 to 1
     * @param reserve largest number of repeats that can be saved up
     */
    public RetryBudget(double share, double reserve) {
        mShare = share;
        mReserve = reserve;
        mTokens = reserve;
    }

    /** Counts a request of a caller. */
    public void deposit() {
        mTokens = Math.min(mReserve, mTokens + mShare);
    }

    /**
     * Takes one repeat.
     *
     * @return false if the budget is used up
     */
    public boolean withdraw() {
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
