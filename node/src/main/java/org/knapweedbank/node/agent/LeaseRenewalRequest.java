package org.knapweedbank.node.agent;

import java.time.Duration;
import java.util.OptionalLong;
import org.knapweedbank.jobs.WorkerId;

/**
 * Request to extend a worker's lease.
 *
 * @param worker incarnation of the worker
 * @param term fencing token
 * @param acknowledgedEnd all ends up to this number may be forgotten
 * @param leaseEndMillis end of the lease on the worker's clock; empty to leave it as it is
 * @param maxWait how long the worker may wait for an end before it answers
 */
public record LeaseRenewalRequest(
        WorkerId worker,
        long term,
        long acknowledgedEnd,
        OptionalLong leaseEndMillis,
        Duration maxWait) {}
