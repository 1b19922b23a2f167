package org.knapweedbank.wire;

import java.time.Duration;

/**
 * Time limits of connections.
 *
 * @param connect time for the TCP connection
 * @param handshake time from the connection until {@code Hello} or {@code Welcome} has arrived
 */
public record FrameTimeouts(Duration connect, Duration handshake) {
    /** Limits for links between data centres; a lost packet is repeated within the second. */
    public static final FrameTimeouts DEFAULT =
            new FrameTimeouts(Duration.ofSeconds(2), Duration.ofSeconds(2));
}
