package org.knapweedbank.entry;

import java.time.Duration;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;

/**
 * Settings of an entry daemon.
 *
 * @param daemon identifier of the daemon
 * @param incarnation start number; grows with each restart
 * @param dataCentre own data centre
 * @param advertisedHost host under which agents and other entries reach this daemon
 * @param callers listener for callers
 * @param frames listener for agents and other entries
 * @param operators listener for operators
 * @param limits limits for the requests of callers
 * @param drainDelay time between the failing health check and the refusal of new requests, in which
 *     the load balancer notices
 * @param drainTimeout longest time that a graceful stop waits for the requests in flight
 * @param seed seed of the random choices of upstreams
 */
public record EntrySettings(
        DaemonId daemon,
        long incarnation,
        DataCentreId dataCentre,
        String advertisedHost,
        ListenAddress callers,
        ListenAddress frames,
        ListenAddress operators,
        CallerLimits limits,
        Duration drainDelay,
        Duration drainTimeout,
        long seed) {}
