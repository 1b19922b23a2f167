package org.knapweedbank.node.agent;

import java.time.Duration;
import java.util.OptionalLong;
import org.knapweedbank.jobs.WorkerId;

/**
 * Request to extend a worker's lease.
 *
 * @param worker incarnation of the worker
 * @param term fencing token
 * @param acknowledged all ends up to this number may be forgotten
 * @param deadline end of the lease on the worker's clock; empty to leave it as it is
 * @param patience how long the worker may wait for an end before it answers
 */
public record HoldRequest(
        WorkerId worker, long term, long acknowledged, OptionalLong deadline, Duration patience) {}
