package org.knapweedbank.routing;

/**
 * Token bucket that limits retries to a share of the requests. Each request adds a fraction of a
 * token; each retry takes a whole token. The bucket starts full, so that a service with few
 * requests can retry as well. Not thread-safe.
 */
public final class RetryBudget {
    private final double mTokensPerRequest;
    private final double mMaxTokens;
    private double mTokens;

    /**
     * Creates a full budget.
     *
     * @param tokensPerRequest number of tokens added for each request, from 0 to 1
     * @param maxTokens maximum number of tokens
     */
    public RetryBudget(double tokensPerRequest, double maxTokens) {
        mTokensPerRequest = tokensPerRequest;
        mMaxTokens = maxTokens;
        mTokens = maxTokens;
    }

    /** Adds the tokens of one caller request. */
    public void recordRequest() {
        mTokens = Math.min(mMaxTokens, mTokens + mTokensPerRequest);
    }

    /**
     * Takes the token of one retry.
     *
     * @return true if the retry may be sent, false if the budget is exhausted
     */
    public boolean tryWithdraw() {
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
