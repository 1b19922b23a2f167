package org.knapweedbank.entry;

import java.time.Duration;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;

/**
 * Settings of an entry daemon.
 *
 * @param daemon identifier of the daemon
 * @param incarnation start number of the daemon, which grows with each restart
 * @param dataCentre data centre of the daemon
 * @param advertisedHost host name at which agents and other entries reach this daemon
 * @param callerAddress address of the HTTP listener for callers
 * @param frameAddress address of the frame listener for agents and other entries
 * @param operatorAddress address of the HTTP listener for operators
 * @param limits limits for requests of callers
 * @param drainDelay time between failing the health check and rejecting new requests, in which the
 *     load balancer takes this entry out of rotation
 * @param drainTimeout longest time that a graceful stop waits for requests in flight
 * @param seed seed of the random number generator for upstream selection
 */
public record EntrySettings(
        DaemonId daemon,
        long incarnation,
        DataCentreId dataCentre,
        String advertisedHost,
        ListenAddress callerAddress,
        ListenAddress frameAddress,
        ListenAddress operatorAddress,
        CallerLimits limits,
        Duration drainDelay,
        Duration drainTimeout,
        long seed) {}
