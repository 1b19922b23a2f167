package org.knapweedbank.node.batch;

/**
 * Actual behaviour of a task on a simulated worker, unknown to the owner and the agent.
 *
 * @param milliCpu processor time that it uses at full pace, in thousandths of a core
 * @param runMillis run time at full pace; 0 for a serving task
 * @param pressure utilization that it adds to serving tasks per whole VM of processor time used
 * @param phase phase of a serving task's sinusoidal load, in radians
 */
record TaskProfile(long milliCpu, double runMillis, double pressure, double phase) {
    boolean serving() {
        return runMillis == 0;
    }
}
