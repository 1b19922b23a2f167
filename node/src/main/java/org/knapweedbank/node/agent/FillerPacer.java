package org.knapweedbank.node.agent;

import java.util.Collection;

/**
 * Chooses the pace of the fillers of one VM from the tail latencies of its serving tasks.
 *
 * <p>A tail latency grows like that of a queue, with the inverse of the idle share, so a step that
 * is harmless at half the objective is a multiple of it near saturation. The controller therefore
 * works on the utilization that a latency stands for: it corrects the pace in proportion to the
 * distance from a utilization that leaves room for a rise of load within the half second that the
 * figures are old.
 */
final class FillerPacer {
    static final int FULL = 100;

    /** Latency of an idle serving task as a share of its objective. */
    private static final double IDLE_LOAD = 0.2;

    /** Utilization of the worst serving task that the controller steers to. */
    private static final double TARGET = 0.78;

    /** Relative change of the pace for each unit of utilization above the target. */
    private static final double BACK_OFF = 4.0;

    /** Change of the pace in percent for each unit of utilization below the target. */
    private static final double RECOVERY = 120;

    /** Pace of the first fillers beside serving tasks, before their effect is known. */
    private static final int FIRST = 40;

    /** Lowest pace that recovers; below it fillers are halted until there is room. */
    private static final int LOWEST = 5;

    private double mPace = FULL;
    private boolean mServing;

    /** Present pace in percent. */
    int pace() {
        return mPace < LOWEST ? 0 : (int) mPace;
    }

    /**
     * Decides the next pace. Without fillers the latencies say nothing of their effect, so the pace
     * stays where it was.
     *
     * @param loads latency divided by objective of each serving task at work
     * @param fillers number of fillers that run
     * @return the pace in percent
     */
    int next(Collection<Double> loads, long fillers) {
        if (loads.isEmpty()) {
            mServing = false;
            mPace = FULL;
        } else if (!mServing) {
            mServing = true;
            mPace = FIRST;
        } else if (fillers > 0) {
            adjust(loads.stream().mapToDouble(Double::doubleValue).max().orElse(0));
        }
        return pace();
    }

    private void adjust(double worst) {
        double utilization = 1 - IDLE_LOAD / Math.max(IDLE_LOAD, worst);
        double excess = utilization - TARGET;
        if (excess > 0) {
            mPace *= Math.max(0, 1 - BACK_OFF * excess);
        } else {
            mPace = Math.min(FULL, mPace - RECOVERY * excess);
        }
    }
}
