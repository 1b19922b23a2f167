package org.knapweedbank.jobs;

import java.time.Duration;
import java.time.Instant;

/**
 * When the occurrences of a job are due.
 *
 * @param first due time of the first occurrence
 * @param interval time between two occurrences
 * @param occurrences how often the steps run, 0 for a job that runs once at any time
 */
public record Timetable(Instant first, Duration interval, int occurrences) {
    /** Runs once, as soon as possible. */
    public static final Timetable ONCE = new Timetable(Instant.EPOCH, Duration.ZERO, 0);

    /**
     * Due time of an occurrence.
     *
     * @param occurrence number of the occurrence
     * @return its due time
     */
    public Instant due(int occurrence) {
        return first.plus(interval.multipliedBy(occurrence));
    }

    /**
     * How often the steps run.
     *
     * @return the count, at least 1
     */
    public int runs() {
        return Math.max(1, occurrences);
    }

    /**
     * Tells whether the job waits for due times.
     *
     * @return true if it does
     */
    public boolean timed() {
        return occurrences > 0;
    }
}
