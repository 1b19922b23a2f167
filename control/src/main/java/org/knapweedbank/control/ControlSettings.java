package org.knapweedbank.control;

import java.time.Duration;

/**
 * Durations and limits of partition control.
 *
 * @param sessionTtl time to live of a VM's session; the leases of the VM's tasks at the worker have
 *     the same time to live
 * @param maxTimeWithoutStore time without confirmation by the store after which the owner grants
 *     and renews no more sessions
 * @param maxPermitViewAge maximum age of the confirmed data centre configuration at which the owner
 *     issues start permits
 * @param startReportTimeout time after a start command without a report after which the owner
 *     requests the agent's task list
 * @param replicaDrainTimeout maximum time that a service replica in a removed data centre keeps
 *     running while its replacement starts
 * @param retention time that ended jobs are kept; a repeated submission within this time is
 *     recognized
 * @param takeoverDelay delay before an entry takes a partition without an owner, multiplied by the
 *     entry's rank; the entry with rank 0 takes it at once
 * @param compactSegments number of log segments at which the journal is compacted into a snapshot
 * @param decisionsPerStep maximum number of scheduling decisions in one step of the control thread
 */
public record ControlSettings(
        Duration sessionTtl,
        Duration maxTimeWithoutStore,
        Duration maxPermitViewAge,
        Duration startReportTimeout,
        Duration replicaDrainTimeout,
        Duration retention,
        Duration takeoverDelay,
        int compactSegments,
        int decisionsPerStep) {
    /**
     * Maximum relative difference between the clock rates of two VMs. The owner extends its waiting
     * time by this fraction before it assumes that a lease has ended.
     */
    public static final double CLOCK_DRIFT = 0.01;

    /**
     * Returns the production defaults.
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
     * Returns a copy of these settings with other lease times.
     *
     * @param ttl time to live of a session
     * @param silence maximum time without confirmation by the store
     * @return the copy
     */
    public ControlSettings withLeases(Duration ttl, Duration silence) {
        return new ControlSettings(
                ttl,
                silence,
                maxPermitViewAge,
                startReportTimeout,
                replicaDrainTimeout,
                retention,
                takeoverDelay,
                compactSegments,
                decisionsPerStep);
    }

    /**
     * Returns the time after the last acknowledged heartbeat at which all leases of a VM have
     * ended. It covers the session and then the task leases at the worker, which may be renewed
     * until the session ends, both extended by the clock drift margin.
     *
     * @return the duration
     */
    public Duration vmExpiry() {
        return withMargin(sessionTtl.multipliedBy(2));
    }

    /**
     * Returns the time after a takeover at which all leases of a VM that has not reconnected have
     * ended. The previous owner may have renewed the session of the VM for up to {@code
     * maxTimeWithoutStore} after it lost contact with the store.
     *
     * @return the duration
     */
    public Duration inheritedExpiry() {
        return withMargin(maxTimeWithoutStore.plus(sessionTtl.multipliedBy(2)));
    }

    private static Duration withMargin(Duration duration) {
        return duration.plusNanos((long) (duration.toNanos() * CLOCK_DRIFT));
    }
}
