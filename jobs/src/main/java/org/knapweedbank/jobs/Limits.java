package org.knapweedbank.jobs;

import java.time.Duration;
import java.time.Instant;

/**
 * Upper bounds of the numbers in submissions and configurations. Within them no sum or product of
 * the scheduler overflows, and no job takes a large part of the owner's memory.
 */
final class Limits {
    /** Maximum duration of any kind. */
    static final Duration MAX_DURATION = Duration.ofDays(365);

    /** Latest due time of the first occurrence of a job. */
    static final Instant LAST_DUE_TIME = Instant.parse("9999-01-01T00:00:00Z");

    /** Maximum number of tasks of a job, over all its steps and occurrences. */
    static final int MAX_TASKS = 50_000;

    /** Maximum processor time in thousandths of a core, memory in MiB, and accelerators. */
    static final long MAX_AMOUNT = 1_000_000_000;

    /** Maximum factor between a job's critical path and its objective. */
    static final double MAX_STRETCH = 1_000;

    private Limits() {}

    /**
     * Checks a duration.
     *
     * @throws IllegalArgumentException if the duration is negative or too long
     */
    static void requireInRange(Duration duration, String name) {
        if (duration.isNegative() || duration.compareTo(MAX_DURATION) > 0) {
            throw new IllegalArgumentException(name + " is out of range: " + duration);
        }
    }
}
