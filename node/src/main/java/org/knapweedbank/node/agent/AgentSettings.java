package org.knapweedbank.node.agent;

import java.time.Duration;

/**
 * Time limits of an agent.
 *
 * @param taskLease duration of the worker's lease, counted from the agent's request that the owner
 *     granted
 * @param maxWorkerLease longest lease that a worker accepts; one that takes a deadline of its
 *     former incarnation, whose clock was ahead, gives itself this lease
 * @param maxPermitAge age of a start order's permit above which the order is refused
 * @param startTimeout time within which the worker may carry out a start order
 * @param maxRenewalWait maximum time that the worker may hold back its answer to a lease renewal
 */
public record AgentSettings(
        Duration taskLease,
        Duration maxWorkerLease,
        Duration maxPermitAge,
        Duration startTimeout,
        Duration maxRenewalWait) {}
