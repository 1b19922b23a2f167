package org.knapweedbank.routing;

import java.time.Duration;

/**
 * Settings of the choice of upstreams.
 *
 * @param initialService service time assumed before the first load report
 * @param reportLifetime age after which a load report is no longer used
 * @param localNetwork round trip assumed within the own data centre before one has been measured
 * @param remoteNetwork round trip assumed to other data centres before one has been measured
 */
public record SelectorSettings(
        Duration initialService,
        Duration reportLifetime,
        Duration localNetwork,
        Duration remoteNetwork) {
    /** Values for data centres that are 4 ms apart, one way. */
    public static final SelectorSettings DEFAULT =
            new SelectorSettings(
                    Duration.ofMillis(5),
                    Duration.ofSeconds(2),
                    Duration.ofNanos(500_000),
                    Duration.ofMillis(8));
}
