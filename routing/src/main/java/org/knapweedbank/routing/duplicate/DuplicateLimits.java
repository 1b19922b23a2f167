package org.knapweedbank.routing.duplicate;

import java.time.Duration;

/**
 * Bounds of a duplicate table.
 *
 * @param entries attempts that run or have run and are remembered
 * @param marks attempts that are marked as not run
 * @param answerBytes largest answer that is recorded, in bytes
 * @param totalAnswerBytes bytes of all recorded answers together
 * @param retention time for which an attempt is remembered after its end; longer than a late copy
 *     of its request can take
 */
public record DuplicateLimits(
        int entries, int marks, int answerBytes, long totalAnswerBytes, Duration retention) {
    /**
     * Bounds for an agent of 64 MB: about 200 bytes an attempt make 5 MB, and 4 MB of answers. At
     * 100 non-idempotent requests a second an attempt is remembered for the full two minutes.
     */
    public static final DuplicateLimits AGENT =
            new DuplicateLimits(16_384, 8_192, 16 * 1024, 4L << 20, Duration.ofMinutes(2));
}
