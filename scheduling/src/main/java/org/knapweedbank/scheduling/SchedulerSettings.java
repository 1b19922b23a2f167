package org.knapweedbank.scheduling;

import java.time.Duration;
import org.knapweedbank.scheduling.quota.ShareMode;

/**
 * Settings of the scheduler of one partition.
 *
 * @param capacityRetention time for which the capacity of a removed VM is still considered when
 *     deciding that a task fits on no VM. VMs are replaced daily, and a task that waits for a
 *     replacement must not be rejected.
 * @param reservationTimeout time after which victims are preempted on another VM if the first
 *     victims of an urgent task have not ended
 * @param shareMode rule for sharing the capacity beyond the deserved shares
 */
public record SchedulerSettings(
        Duration capacityRetention, Duration reservationTimeout, ShareMode shareMode) {
    /**
     * Checks that no duration is negative.
     *
     * @throws IllegalArgumentException if a duration is negative
     */
    public SchedulerSettings {
        if (capacityRetention.isNegative() || reservationTimeout.isNegative()) {
            throw new IllegalArgumentException(
                    "capacityRetention or reservationTimeout is negative");
        }
    }

    /**
     * Returns the settings for production. Compared with plain weights, time-aware sharing halves
     * the deviation of usage from the weights over hours in {@code quota.fairness}, while the
     * deviation within a quarter of an hour is slightly larger.
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
     * Returns a copy of these settings with another share mode.
     *
     * @param mode the share mode
     * @return the changed settings
     */
    public SchedulerSettings withShareMode(ShareMode mode) {
        return new SchedulerSettings(capacityRetention, reservationTimeout, mode);
    }

    /**
     * Returns a copy of these settings with another reservation timeout.
     *
     * @param timeout the timeout
     * @return the changed settings
     */
    public SchedulerSettings withReservationTimeout(Duration timeout) {
        return new SchedulerSettings(capacityRetention, timeout, shareMode);
    }
}
