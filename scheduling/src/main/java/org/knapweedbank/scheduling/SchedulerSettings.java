package org.knapweedbank.scheduling;

import java.time.Duration;
import org.knapweedbank.scheduling.quota.ShareMode;

/**
 * Settings of the scheduler of one partition.
 *
 * @param capacityMemory time for which the capacity of a VM that has left still counts when a task
 *     is judged to fit on no VM; VMs are replaced daily, and a task that waits for the replacement
 *     must not be rejected
 * @param reservationTimeout time after which victims are chosen on a second VM for an urgent task
 *     whose first victims have not ended
 * @param shareMode division of capacity over the deserved shares
 */
public record SchedulerSettings(
        Duration capacityMemory, Duration reservationTimeout, ShareMode shareMode) {
    /** Checks that the times are not negative. */
    public SchedulerSettings {
        if (capacityMemory.isNegative() || reservationTimeout.isNegative()) {
            throw new IllegalArgumentException("a time of the scheduler settings is negative");
        }
    }

    /**
     * The settings for production. The time-aware division halved the distance of the use from the
     * weights over hours in {@code quota.fairness}, at a slightly larger distance within a quarter
     * of an hour.
     *
     * @return the settings
     */
    public static SchedulerSettings defaults() {
        return new SchedulerSettings(
                Duration.ofMinutes(15),
                Duration.ofMillis(2_300),
                new ShareMode.TimeAware(1, Duration.ofHours(1)));
    }

    /**
     * The same settings with another division.
     *
     * @param mode the division
     * @return the settings
     */
    public SchedulerSettings withShareMode(ShareMode mode) {
        return new SchedulerSettings(capacityMemory, reservationTimeout, mode);
    }

    /**
     * The same settings with another timeout of reservations.
     *
     * @param timeout the timeout
     * @return the settings
     */
    public SchedulerSettings withReservationTimeout(Duration timeout) {
        return new SchedulerSettings(capacityMemory, timeout, shareMode);
    }
}
