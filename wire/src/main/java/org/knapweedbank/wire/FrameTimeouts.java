package org.knapweedbank.wire;

import java.time.Duration;

/**
 * Timeouts for establishing connections.
 *
 * @param connect timeout for establishing the TCP connection
 * @param handshake timeout from the establishment of the TCP connection until the arrival of {@link
 *     Hello} or {@link Welcome}
 */
public record FrameTimeouts(Duration connect, Duration handshake) {
    /**
     * Default timeouts, which suit connections between data centres: a lost packet is retransmitted
     * within one second.
     */
    public static final FrameTimeouts DEFAULT =
            new FrameTimeouts(Duration.ofSeconds(2), Duration.ofSeconds(2));
}
