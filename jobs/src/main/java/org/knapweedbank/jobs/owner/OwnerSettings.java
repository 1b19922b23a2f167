package org.knapweedbank.jobs.owner;

import java.time.Duration;

/**
 * Time bounds of the owner.
 *
 * @param taskLease longest lease that an agent may give to what runs on its VM, counted from the
 *     request that the owner answered
 * @param renewalAuthority how long the owner goes on answering agents without confirming its
 *     ownership at the store
 * @param clockMargin added to each wait for the end of another party's lease
 * @param viewAge age of the view of evacuations and configuration above which nothing is started
 * @param orderSettling time after which an order that a lost agent process sent can't start any
 *     more
 * @param retention how long a finished job is kept
 * @param crossRackFactor how much longer a task takes away from its data or from its peers
 */
public record OwnerSettings(
        Duration taskLease,
        Duration renewalAuthority,
        Duration clockMargin,
        Duration viewAge,
        Duration orderSettling,
        Duration retention,
        double crossRackFactor) {
    /** Largest rate error of a worker's clock, as a factor. */
    private static final double CLOCK_RATE_FACTOR = 1.02;

    /**
     * Time after the last answer to an agent at which all that ran on its VM has ended.
     *
     * @return the time
     */
    public Duration leaseEnd() {
        return Duration.ofMillis((long) (taskLease.toMillis() * CLOCK_RATE_FACTOR))
                .plus(clockMargin);
    }

    /**
     * Time after a takeover at which all that an earlier owner allowed on a VM out of reach has
     * ended.
     *
     * @return the time
     */
    public Duration earlierOwnerEnd() {
        return renewalAuthority.plus(leaseEnd());
    }
}
