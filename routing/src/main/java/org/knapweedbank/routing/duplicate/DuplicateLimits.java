package org.knapweedbank.routing.duplicate;

import java.time.Duration;

/**
 * Limits of a duplicate table.
 *
 * @param maxAttempts maximum number of attempts that are running or have run
 * @param maxNotRunMarks maximum number of attempts that are marked as not run
 * @param answerBytes maximum size of a recorded answer in bytes
 * @param totalAnswerBytes maximum total size of all recorded answers in bytes
 * @param retention time for which an attempt is remembered after its end; must exceed the longest
 *     delay of a duplicate of its request
 */
public record DuplicateLimits(
        int maxAttempts,
        int maxNotRunMarks,
        int answerBytes,
        long totalAnswerBytes,
        Duration retention) {
    /**
     * Limits for an agent with 64 MB: about 5 MB for attempts of about 200 bytes each, and 4 MB for
     * answers. At 100 non-idempotent requests per second, attempts are remembered for the full two
     * minutes.
     */
    public static final DuplicateLimits AGENT =
            new DuplicateLimits(16_384, 8_192, 16 * 1024, 4L << 20, Duration.ofMinutes(2));
}
