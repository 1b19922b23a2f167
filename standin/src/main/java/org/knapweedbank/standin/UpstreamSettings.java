package org.knapweedbank.standin;

import java.time.Duration;

/**
 * Settings of an upstream stand-in.
 *
 * @param service service name
 * @param name name of this upstream in its answers and records
 * @param host address to listen on, also announced
 * @param port port for requests, or 0 for any
 * @param adminPort port for tests, or 0 for any
 * @param slots requests served at a time; further ones are refused and counted
 * @param connections connections announced
 * @param serviceTime time that a request takes
 * @param eventInterval time between two events of a stream
 * @param agent HOST:PORT of the agent's announcement listener, or empty to announce nothing
 * @param announceInterval time between two announcements
 * @param leaveGrace shortest time between the announcement of a leave and its end
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
