package org.knapweedbank.jobs.owner;

import java.time.Duration;

/**
 * Settings of the job owner.
 *
 * @param taskLease longest lease that an agent may grant to the runs on its VM, counted from the
 *     request that the owner answered
 * @param maxWorkerLease longest lease that a worker accepts
 * @param renewalAuthority how long the owner continues to answer agents without a new confirmation
 *     that no later term has begun
 * @param maxStoreSilence how long the statements of all other entries may replace the confirmation
 *     by the store
 * @param clockMargin margin added to each wait for the end of a lease that another process holds
 * @param maxViewAge maximum age of the known configuration and evacuations; with an older view no
 *     task is started
 * @param orderTimeout time after which an order that a terminated agent process has sent can no
 *     longer start a run
 * @param retention how long a finished job is kept
 * @param crossRackFactor factor by which a task takes longer away from the rack of its data or of
 *     the other tasks of its step
 * @param scheduling settings of the optional parts of scheduling
 */
public record OwnerSettings(
        Duration taskLease,
        Duration maxWorkerLease,
        Duration renewalAuthority,
        Duration maxStoreSilence,
        Duration clockMargin,
        Duration maxViewAge,
        Duration orderTimeout,
        Duration retention,
        double crossRackFactor,
        SchedulingSettings scheduling) {
    /** Maximum rate error of a worker's clock, as a factor. */
    private static final double CLOCK_RATE_FACTOR = 1.02;

    /**
     * Returns the time after the last answer to an agent at which the leases of all runs on its VM
     * have expired.
     *
     * @return the time
     */
    public Duration leaseTimeout() {
        return timeoutOf(taskLease);
    }

    /**
     * Returns the time after the restart of a worker at which the leases that it may have given
     * itself have expired. It may have taken an order with a deadline of its former incarnation.
     *
     * @return the time
     */
    public Duration restartedLeaseTimeout() {
        return timeoutOf(maxWorkerLease);
    }

    private Duration timeoutOf(Duration lease) {
        return Duration.ofMillis((long) (lease.toMillis() * CLOCK_RATE_FACTOR)).plus(clockMargin);
    }

    /**
     * Returns the time after a takeover at which all leases that an earlier owner allowed on an
     * unreachable VM have expired, provided that it needed a statement of the present owner to go
     * on.
     *
     * @return the time
     */
    public Duration earlierLeaseTimeout() {
        return renewalAuthority.plus(leaseTimeout());
    }
}
