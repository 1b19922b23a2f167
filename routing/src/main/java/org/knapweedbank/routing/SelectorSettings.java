package org.knapweedbank.routing;

import java.time.Duration;

/**
 * Settings for the selection of upstreams.
 *
 * @param initialService service time assumed before the first load report
 * @param reportLifetime age above which a load report is ignored
 * @param localNetwork round-trip time assumed within the local data centre before the first
 *     measurement
 * @param remoteNetwork round-trip time assumed to other data centres before the first measurement
 */
public record SelectorSettings(
        Duration initialService,
        Duration reportLifetime,
        Duration localNetwork,
        Duration remoteNetwork) {
    /** Default settings, for data centres with a one-way network delay of 4 ms. */
    public static final SelectorSettings DEFAULT =
            new SelectorSettings(
                    Duration.ofMillis(5),
                    Duration.ofSeconds(2),
                    Duration.ofNanos(500_000),
                    Duration.ofMillis(8));
}
