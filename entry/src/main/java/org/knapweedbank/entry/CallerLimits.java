package org.knapweedbank.entry;

import java.time.Duration;

/**
 * Size and time limits for requests of callers.
 *
 * @param maxBodyBytes maximum size of the body in bytes; at most {@link #LARGEST_BODY_BYTES},
 *     because a request is sent to the agent in one frame
 * @param maxHeaderCount maximum number of header fields
 * @param maxHeaderBytes maximum total size of the header fields in bytes
 * @param bodyTimeout longest time for the complete body to arrive
 */
public record CallerLimits(
        int maxBodyBytes, int maxHeaderCount, int maxHeaderBytes, Duration bodyTimeout) {
    /** Size of the largest body that fits into a frame of 1 MiB together with the header fields. */
    public static final int LARGEST_BODY_BYTES = 896 * 1024;

    /** Default limits. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(LARGEST_BODY_BYTES, 64, 16 * 1024, Duration.ofSeconds(30));

    /**
     * Creates the limits.
     *
     * @throws IllegalArgumentException if the body limit is out of range
     */
    public CallerLimits {
        if (maxBodyBytes < 0 || maxBodyBytes > LARGEST_BODY_BYTES) {
            throw new IllegalArgumentException(
                    "maxBodyBytes must be from 0 to " + LARGEST_BODY_BYTES + ": " + maxBodyBytes);
        }
    }
}
