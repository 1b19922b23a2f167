package org.knapweedbank.jobs.admission;

import java.time.Duration;

/**
 * Settings of the admission of new jobs under overload.
 *
 * @param enabled whether jobs are refused for overload at all
 * @param warmUp time from the start of a term in which no job is refused
 * @param persistence time for which the expected end of new jobs has to be over the limit without a
 *     break before jobs are refused
 */
public record AdmissionSettings(boolean enabled, Duration warmUp, Duration persistence) {
    /**
     * Longest persistence. The samples of that time are kept, each with the unfinished jobs; by
     * calculation, those of a minute take tens of megabytes with 4,000 unfinished jobs.
     */
    public static final Duration MAX_PERSISTENCE = Duration.ofMinutes(1);

    /** All jobs are admitted; the other values are the defaults. */
    public static final AdmissionSettings DISABLED =
            new AdmissionSettings(false, Duration.ofSeconds(10), Duration.ofSeconds(2));

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if a duration is negative or the persistence too long
     */
    public AdmissionSettings {
        if (warmUp.isNegative()) {
            throw new IllegalArgumentException("warmUp must not be negative: " + warmUp);
        }
        if (persistence.isNegative()) {
            throw new IllegalArgumentException("persistence must not be negative: " + persistence);
        }
        if (persistence.compareTo(MAX_PERSISTENCE) > 0) {
            throw new IllegalArgumentException("persistence is too long: " + persistence);
        }
    }
}
