package org.knapweedbank.node.batch;

/**
 * How a task behaves on a simulated worker, which neither owner nor agent is told.
 *
 * @param milliCpu processor time that it uses at full pace, in thousandths of a core
 * @param runMillis time that it takes at full pace; 0 for a serving task
 * @param pressure rise of utilization of serving tasks for each whole VM that it uses
 * @param phase shift of a serving task's load wave, in radians
 */
record TaskProfile(long milliCpu, double runMillis, double pressure, double phase) {
    boolean serving() {
        return runMillis == 0;
    }
}
