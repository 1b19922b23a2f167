package org.knapweedbank.routing;

import java.time.Duration;

/**
 * Settings of the ejection of failing upstreams.
 *
 * @param consecutiveFailures failures in a row that eject an upstream
 * @param failureShare share of failures that ejects an upstream
 * @param minimumSamples attempts needed before the share counts
 * @param baseTime length of the first ejection; grows linearly with each further one
 * @param maximumTime longest ejection
 * @param maximumShare largest share of the upstreams that may be ejected at a time
 * @param slowStart time in which an upstream that returns goes from little to full load
 */
public record EjectionSettings(
        int consecutiveFailures,
        double failureShare,
        int minimumSamples,
        Duration baseTime,
        Duration maximumTime,
        double maximumShare,
        Duration slowStart) {
    /** Default values. */
    public static final EjectionSettings DEFAULT =
            new EjectionSettings(
                    5,
                    0.5,
                    20,
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(60),
                    0.34,
                    Duration.ofSeconds(10));
}
