package org.knapweedbank.store.etcd;

import java.time.Duration;
import java.util.List;

/**
 * Settings of the adapter.
 *
 * @param endpoints HOST:PORT of each gateway, in order of preference
 * @param connectTimeout time limit of a connection attempt
 * @param callTimeout time limit of a call, from its start to its whole answer
 * @param maxAnswerBytes largest answer that is accepted, in bytes
 * @param reconnectDelay delay before an interrupted watch is opened again
 */
public record EtcdSettings(
        List<String> endpoints,
        Duration connectTimeout,
        Duration callTimeout,
        int maxAnswerBytes,
        Duration reconnectDelay) {
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

    /** Checks the endpoints. */
    public EtcdSettings {
        endpoints = List.copyOf(endpoints);
        if (endpoints.isEmpty()) {
            throw new IllegalArgumentException("no endpoint of the key-value service is given");
        }
        endpoints.forEach(EtcdEndpoint::parse);
    }

    /**
     * Settings with the usual time limits: 1 s to connect, 2 s for a call.
     *
     * @param endpoints HOST:PORT of each gateway
     * @return the settings
     */
    public static EtcdSettings of(List<String> endpoints) {
        return new EtcdSettings(
                endpoints,
                Duration.ofSeconds(1),
                Duration.ofSeconds(2),
                MAX_ANSWER_BYTES,
                Duration.ofMillis(200));
    }
}
