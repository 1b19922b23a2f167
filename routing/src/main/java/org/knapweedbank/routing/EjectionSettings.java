package org.knapweedbank.routing;

import java.time.Duration;

/**
 * Settings for the ejection of failing upstreams.
 *
 * @param consecutiveFailures number of consecutive failures after which an upstream is ejected
 * @param failureShare share of failed attempts at which an upstream is ejected
 * @param minimumSamples number of attempts required before the failure share is evaluated
 * @param baseTime duration of the first ejection; the n-th ejection lasts n times as long
 * @param maximumTime maximum duration of an ejection
 * @param maximumShare maximum share of the upstreams of a service that may be ejected at the same
 *     time
 * @param slowStart duration over which the load of a returning upstream is increased to normal
 */
public record EjectionSettings(
        int consecutiveFailures,
        double failureShare,
        int minimumSamples,
        Duration baseTime,
        Duration maximumTime,
        double maximumShare,
        Duration slowStart) {
    /** Default settings. */
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
