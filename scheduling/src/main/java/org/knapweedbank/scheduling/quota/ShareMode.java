package org.knapweedbank.scheduling.quota;

import java.time.Duration;

/** Rule by which capacity over the deserved shares is divided. */
public sealed interface ShareMode {
    /** In proportion to the weights at each moment. */
    record Plain() implements ShareMode {}

    /**
     * In proportion to {@code max(W' + k(W' - U'), 0)}, where W' is the normalized weight and U'
     * the normalized decayed usage over quota.
     *
     * @param k strength of the correction, 0 or more; 0 equals plain weights
     * @param halfLife time after which usage counts half
     */
    record TimeAware(double k, Duration halfLife) implements ShareMode {
        /** Checks the ranges. */
        public TimeAware {
            if (k < 0 || halfLife.isZero() || halfLife.isNegative()) {
                throw new IllegalArgumentException(
                        "k is negative or the half-life is not positive: " + k + ", " + halfLife);
            }
        }
    }
}
