package org.knapweedbank.worker;

import java.time.Duration;

/**
 * Settings of an {@link HttpWorker}.
 *
 * @param host host name or IP address of the worker
 * @param port TCP port of the worker
 * @param connectTimeout timeout of a connection attempt
 * @param callTimeout timeout of a call, from its start to the end of the response
 * @param maxResponseBytes maximum size of a response body, in bytes; a larger response is discarded
 */
public record HttpWorkerSettings(
        String host,
        int port,
        Duration connectTimeout,
        Duration callTimeout,
        int maxResponseBytes) {
    private static final int DEFAULT_MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    /**
     * Returns settings with the default limits: 1 s to connect, 2 s for a call, 4 MiB for a
     * response.
     *
     * @param host host name or IP address of the worker
     * @param port TCP port of the worker
     * @return the settings
     */
    public static HttpWorkerSettings of(String host, int port) {
        return new HttpWorkerSettings(
                host,
                port,
                Duration.ofSeconds(1),
                Duration.ofSeconds(2),
                DEFAULT_MAX_RESPONSE_BYTES);
    }
}
