package org.knapweedbank.jobs;

/**
 * Tail latency of serving tasks. It grows like that of a queue, with the inverse of the idle share,
 * so what is harmless at half the objective is a multiple of it near saturation.
 */
public final class TailLatency {
    /** Latency of an idle serving task as a share of its objective. */
    private static final double IDLE_LOAD = 0.2;

    private TailLatency() {}

    /**
     * Utilization that stands behind a tail latency.
     *
     * @param load latency divided by the objective
     * @return the utilization, 0 to 1
     */
    public static double utilization(double load) {
        return 1 - IDLE_LOAD / Math.max(IDLE_LOAD, load);
    }
}
