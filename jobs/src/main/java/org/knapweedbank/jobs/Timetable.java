package org.knapweedbank.jobs;

import java.time.Duration;
import java.time.Instant;

/**
 * Schedule of the occurrences of a job.
 *
 * @param first due time of the first occurrence
 * @param interval time between two occurrences
 * @param occurrences number of times that the steps run, 0 for a job that runs once without a due
 *     time
 */
public record Timetable(Instant first, Duration interval, int occurrences) {
    /** Timetable of a job that runs once, as soon as possible. */
    public static final Timetable ONCE = new Timetable(Instant.EPOCH, Duration.ZERO, 0);

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if the interval or the due time is out of range
     */
    public Timetable {
        Limits.requireInRange(interval, "interval");
        if (first.isBefore(Instant.EPOCH) || first.isAfter(Limits.LAST_DUE_TIME)) {
            throw new IllegalArgumentException("first due time is out of range: " + first);
        }
    }

    /**
     * Returns the due time of an occurrence.
     *
     * @param occurrence number of the occurrence, from 0
     * @return its due time
     */
    public Instant due(int occurrence) {
        return first.plus(interval.multipliedBy(occurrence));
    }

    /**
     * Returns how often the steps run.
     *
     * @return the number of occurrences, at least 1
     */
    public int occurrenceCount() {
        return Math.max(1, occurrences);
    }

    /**
     * Returns whether occurrences of the job wait for their due times.
     *
     * @return true if the job has due times
     */
    public boolean hasDueTimes() {
        return occurrences > 0;
    }
}
