package org.knapweedbank.jobs;

/**
 * Model of the tail latency of serving tasks. As in a queue, the latency grows with the inverse of
 * the idle share. So added load that is harmless while the latency is at half the objective raises
 * it to a multiple of the objective near saturation.
 */
public final class TailLatency {
    /** Latency of an idle serving task, as a share of its objective. */
    private static final double IDLE_RELATIVE_LATENCY = 0.2;

    private TailLatency() {}

    /**
     * Returns the utilization that a tail latency indicates.
     *
     * @param relativeLatency tail latency divided by the latency objective
     * @return the utilization, 0 to 1
     */
    public static double utilization(double relativeLatency) {
        return 1 - IDLE_RELATIVE_LATENCY / Math.max(IDLE_RELATIVE_LATENCY, relativeLatency);
    }
}
