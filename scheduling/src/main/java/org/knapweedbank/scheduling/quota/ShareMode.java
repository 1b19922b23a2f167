package org.knapweedbank.scheduling.quota;

import java.time.Duration;

/** Rule for sharing the capacity beyond the deserved shares of the teams. */
public sealed interface ShareMode {
    /**
     * Shares the capacity in proportion to the weights at each moment, regardless of past usage.
     */
    record ByWeight() implements ShareMode {}

    /**
     * Shares the capacity in proportion to {@code max(W' + k(W' - U'), 0)}, where W' is the
     * normalized weight of a team and U' its normalized, exponentially decayed usage over quota.
     *
     * @param k strength of the correction by past usage, at least 0; with 0 only the weights count
     * @param halfLife half-life of past usage
     */
    record TimeAware(double k, Duration halfLife) implements ShareMode {
        /**
         * Checks the ranges.
         *
         * @throws IllegalArgumentException if {@code k} is negative or {@code halfLife} is not
         *     positive
         */
        public TimeAware {
            if (k < 0 || halfLife.isZero() || halfLife.isNegative()) {
                throw new IllegalArgumentException(
                        "k is negative or the half-life is not positive: " + k + ", " + halfLife);
            }
        }
    }
}
