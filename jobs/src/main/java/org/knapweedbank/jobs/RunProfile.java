package org.knapweedbank.jobs;

import java.time.Duration;

/**
 * How a run shares its VM with the others, as its agent has to know it to pace fillers.
 *
 * @param pressure expected rise of utilization that a filler causes for the serving tasks of its VM
 *     at full pace; 0 if the task is not a filler and must not be paced
 * @param rank order in which the fillers of a VM get the room beside its serving tasks, the highest
 *     first
 * @param latencyObjective bound on the tail latency of a serving task, zero if none
 */
public record RunProfile(double pressure, double rank, Duration latencyObjective) {}
