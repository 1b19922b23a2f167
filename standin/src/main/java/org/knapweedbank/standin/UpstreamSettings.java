package org.knapweedbank.standin;

import java.time.Duration;

/**
 * Settings of a simulated upstream.
 *
 * @param service name of the service that the upstream provides
 * @param name name of the upstream in its responses and execution records
 * @param host address to listen on, which is also announced
 * @param port TCP port for requests, or 0 for any free port
 * @param adminPort TCP port of the admin interface, or 0 for any free port
 * @param slots maximum number of concurrent requests; further requests are refused and counted
 * @param connections maximum number of connections, which is announced but not enforced
 * @param serviceTime service time of a request
 * @param eventInterval time between two events of a stream
 * @param agent HOST:PORT of the agent's announcement listener, or empty to announce nothing
 * @param announceInterval time between two announcements
 * @param leaveGrace minimum time from announcing that the upstream is leaving until it closes
 */
public record UpstreamSettings(
        String service,
        String name,
        String host,
        int port,
        int adminPort,
        int slots,
        int connections,
        Duration serviceTime,
        Duration eventInterval,
        String agent,
        Duration announceInterval,
        Duration leaveGrace) {}
