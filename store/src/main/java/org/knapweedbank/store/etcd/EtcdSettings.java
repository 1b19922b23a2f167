package org.knapweedbank.store.etcd;

import java.time.Duration;
import java.util.List;

/**
 * Settings of the client of the key-value service.
 *
 * @param endpoints HOST:PORT of each gateway, in order of preference
 * @param connectTimeout timeout of a connection attempt
 * @param callTimeout timeout of a call, from its start to the end of the response
 * @param maxResponseBytes maximum size of a response in bytes; for a watch, of one message
 * @param reconnectDelay delay before an interrupted watch is opened again
 */
public record EtcdSettings(
        List<String> endpoints,
        Duration connectTimeout,
        Duration callTimeout,
        int maxResponseBytes,
        Duration reconnectDelay) {
    private static final int DEFAULT_MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

    /** Checks that there are endpoints and that all are well-formed. */
    public EtcdSettings {
        endpoints = List.copyOf(endpoints);
        if (endpoints.isEmpty()) {
            throw new IllegalArgumentException(
                    "no endpoint of the key-value service is configured");
        }
        endpoints.forEach(EtcdEndpoint::parse);
    }

    /**
     * Returns settings with the default timeouts: 1 s for a connection attempt and 2 s for a call.
     *
     * @param endpoints HOST:PORT of each gateway
     * @return the settings
     */
    public static EtcdSettings of(List<String> endpoints) {
        return new EtcdSettings(
                endpoints,
                Duration.ofSeconds(1),
                Duration.ofSeconds(2),
                DEFAULT_MAX_RESPONSE_BYTES,
                Duration.ofMillis(200));
    }
}
