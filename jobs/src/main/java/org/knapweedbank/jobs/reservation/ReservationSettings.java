package org.knapweedbank.jobs.reservation;

import java.time.Duration;

/**
 * Settings of the reservations of room for waiting tasks.
 *
 * @param enabled whether room is reserved at all
 * @param maxTasks maximum number of tasks with a reservation
 * @param maxHold longest time for which room is reserved for a task
 * @param maxDelay longest time by which a less urgent task may delay the start of a reservation
 */
public record ReservationSettings(
        boolean enabled, int maxTasks, Duration maxHold, Duration maxDelay) {
    /** No room is reserved; the other values are the defaults. */
    public static final ReservationSettings DISABLED =
            new ReservationSettings(false, 16, Duration.ofSeconds(3), Duration.ofMillis(250));

    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public ReservationSettings {
        if (maxTasks < 1) {
            throw new IllegalArgumentException("maxTasks must be positive: " + maxTasks);
        }
        if (maxHold.isNegative()) {
            throw new IllegalArgumentException("maxHold must not be negative: " + maxHold);
        }
        if (maxDelay.isNegative()) {
            throw new IllegalArgumentException("maxDelay must not be negative: " + maxDelay);
        }
    }
}
