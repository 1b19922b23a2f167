package org.knapweedbank.scheduling;

import java.time.Duration;

/**
 * Settings of the scheduler of one partition.
 *
 * @param capacityMemory time for which the capacity of a VM that has left still counts when a task
 *     is judged to fit on no VM; VMs are replaced daily, and a task that waits for the replacement
 *     must not be rejected
 * @param reservationTimeout time after which an urgent task whose victims have not ended is
 *     considered for other VMs
 */
public record SchedulerSettings(Duration capacityMemory, Duration reservationTimeout) {
    /** Checks that the times are positive. */
    public SchedulerSettings {
        if (capacityMemory.isNegative() || reservationTimeout.isNegative()) {
            throw new IllegalArgumentException("a time of the scheduler settings is negative");
        }
    }

    /**
     * The settings for production.
     *
     * @return the settings
     */
    public static SchedulerSettings defaults() {
        return new SchedulerSettings(Duration.ofMinutes(15), Duration.ofMillis(1_500));
    }
}
