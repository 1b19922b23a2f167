package org.knapweedbank.entry;

import java.time.Duration;

/**
 * Limits for the requests of callers.
 *
 * @param maxBodyBytes largest body; at most {@link #LARGEST_BODY_BYTES}, as a request is one frame
 * @param maxHeaderCount largest number of header fields
 * @param maxHeaderBytes largest total size of the header fields
 * @param bodyTimeout time for the whole body to arrive
 */
public record CallerLimits(
        int maxBodyBytes, int maxHeaderCount, int maxHeaderBytes, Duration bodyTimeout) {
    /** Largest body that fits into a frame of 1 MiB together with the header fields. */
    public static final int LARGEST_BODY_BYTES = 896 * 1024;

    /** Default limits. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(LARGEST_BODY_BYTES, 64, 16 * 1024, Duration.ofSeconds(30));

    /** Checks the size of the body. */
    public CallerLimits {
        if (maxBodyBytes < 0 || maxBodyBytes > LARGEST_BODY_BYTES) {
            throw new IllegalArgumentException(
                    "body limit is not in 0 to " + LARGEST_BODY_BYTES + ": " + maxBodyBytes);
        }
    }
}
