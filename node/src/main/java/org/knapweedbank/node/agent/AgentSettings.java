package org.knapweedbank.node.agent;

import java.time.Duration;

/**
 * Time bounds of an agent.
 *
 * @param taskLease longest lease from the request that the owner answered
 * @param maxPermitAge age of a permit above which a start order is refused
 * @param startTimeout time in which a worker may carry out a start order
 * @param maxRenewalWait how long a worker may wait with its lists
 */
public record AgentSettings(
        Duration taskLease,
        Duration maxPermitAge,
        Duration startTimeout,
        Duration maxRenewalWait) {}
