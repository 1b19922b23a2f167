package org.knapweedbank.jobs;

import java.time.Duration;

/**
 * How a run shares its VM with other runs; the agent throttles fillers by it.
 *
 * @param pressure expected rise of the utilization of the VM's serving tasks if the filler runs at
 *     full speed; 0 if the task is not a filler and must not be throttled
 * @param rank priority among the fillers of the VM for the processor time that serving tasks leave,
 *     the highest first
 * @param latencyObjective limit of the tail latency of a serving task, zero if there is none
 */
public record RunProfile(double pressure, double rank, Duration latencyObjective) {}
