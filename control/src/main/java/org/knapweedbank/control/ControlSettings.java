package org.knapweedbank.control;

import java.time.Duration;

/**
 * Times and limits of the control duty.
 *
 * @param sessionTtl time to live of a VM's session; the leases of its tasks at the worker have the
 *     same time to live
 * @param maxStoreSilence time without contact to the store after which sessions are no longer
 *     renewed
 * @param permitViewLimit largest age of the confirmed view of the data centres at which a start
 *     permit is issued
 * @param startReportLimit time after which a start without a report is checked with the agent
 * @param replicaWait time that a service replica in a removed data centre is kept while its
 *     replacement starts
 * @param retention time that ended jobs are kept; a repeat of their submission within it is
 *     recognized
 * @param takeoverDelay wait of each entry after the preferred one before it takes a partition
 *     without an owner
 * @param compactSegments number of log segments after which a snapshot is written
 * @param decisionsPerStep largest number of scheduling decisions in one step
 */
public record ControlSettings(
        Duration sessionTtl,
        Duration maxStoreSilence,
        Duration permitViewLimit,
        Duration startReportLimit,
        Duration replicaWait,
        Duration retention,
        Duration takeoverDelay,
        int compactSegments,
        int decisionsPerStep) {
    /**
     * Share by which the clocks of two VMs may differ in rate; the owner waits longer by it before
     * it assumes the end of a lease.
     */
    public static final double CLOCK_DRIFT = 0.01;

    /**
     * The settings for production.
     *
     * @return the default settings
     */
    public static ControlSettings defaults() {
        return new ControlSettings(
                Duration.ofSeconds(30),
                Duration.ofMinutes(3),
                Duration.ofSeconds(2),
                Duration.ofSeconds(5),
                Duration.ofSeconds(30),
                Duration.ofHours(24),
                Duration.ofSeconds(1),
                200,
                2_000);
    }

    /**
     * The same settings with other lease times.
     *
     * @param ttl time to live of a session
     * @param silence longest time without contact to the store
     * @return the settings
     */
    public ControlSettings withLeases(Duration ttl, Duration silence) {
        return new ControlSettings(
                ttl,
                silence,
                permitViewLimit,
                startReportLimit,
                replicaWait,
                retention,
                takeoverDelay,
                compactSegments,
                decisionsPerStep);
    }

    /**
     * Time after the last acknowledged heartbeat at which all leases of a VM have ended: the
     * session and then the task leases at the worker, both with the drift margin.
     *
     * @return the time
     */
    public Duration vmExpiry() {
        return withMargin(sessionTtl.multipliedBy(2));
    }

    /**
     * Time after a takeover at which the leases of a VM that has not been heard of have ended: the
     * earlier owner may have renewed its session for {@code maxStoreSilence}.
     *
     * @return the time
     */
    public Duration inheritedExpiry() {
        return withMargin(maxStoreSilence.plus(sessionTtl.multipliedBy(2)));
    }

    private static Duration withMargin(Duration duration) {
        return duration.plusNanos((long) (duration.toNanos() * CLOCK_DRIFT));
    }
}
