package org.knapweedbank.worker;

import java.time.Duration;

/**
 * Settings of the client.
 *
 * @param host address of the worker
 * @param port its port
 * @param connectTimeout time limit of a connection attempt
 * @param callTimeout time limit of a call, from its start to its whole answer
 * @param maxAnswerBytes largest answer that is accepted, in bytes
 */
public record HttpWorkerSettings(
        String host, int port, Duration connectTimeout, Duration callTimeout, int maxAnswerBytes) {
    private static final int MAX_ANSWER_BYTES = 4 * 1024 * 1024;

    /**
     * Settings with the usual limits: 1 s to connect, 2 s for a call.
     *
     * @param host address of the worker
     * @param port its port
     * @return the settings
     */
    public static HttpWorkerSettings of(String host, int port) {
        return new HttpWorkerSettings(
                host, port, Duration.ofSeconds(1), Duration.ofSeconds(2), MAX_ANSWER_BYTES);
    }
}
