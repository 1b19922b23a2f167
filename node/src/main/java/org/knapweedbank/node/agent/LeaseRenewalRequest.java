package org.knapweedbank.node.agent;

import java.time.Duration;
import java.util.OptionalLong;
import org.knapweedbank.jobs.WorkerId;

/**
 * Request to renew a worker's lease and to list its runs.
 *
 * @param worker worker incarnation that the request is for
 * @param term term of the owner, used as fencing token
 * @param acknowledgedEnd highest number of an acknowledged end; the worker may discard the ends up
 *     to it
 * @param leaseEndMillis new end of the lease on the worker's clock; empty to leave it unchanged
 * @param maxWait time that the worker may wait for the end of a run before it answers
 */
public record LeaseRenewalRequest(
        WorkerId worker,
        long term,
        long acknowledgedEnd,
        OptionalLong leaseEndMillis,
        Duration maxWait) {}
