package org.knapweedbank.node.agent;

import java.util.Collection;

/**
 * Chooses the pace of the fillers of one VM from the tail latencies of its serving tasks. The
 * latencies are those of the last half second, so one call decides one step: back off by a factor
 * while an objective is missed or near, recover slowly while all are met with room.
 */
final class FillerPacer {
    static final int FULL = 100;

    /** Share of the objective from which on the pace is lowered. */
    private static final double NEAR = 0.9;

    /** Share of the objective up to which the pace is raised. */
    private static final double AMPLE = 0.75;

    private static final double BACK_OFF_MISSED = 0.45;
    private static final double BACK_OFF_NEAR = 0.85;
    private static final int RECOVERY = 15;

    /** Pace below which fillers are halted: so slow a task only disturbs. */
    private static final int LOWEST = 8;

    /** Pace of the first fillers beside serving tasks, before their effect is known. */
    private static final int FIRST = 50;

    private int mPace = FULL;
    private boolean mServing;

    /** Present pace in percent. */
    int pace() {
        return mPace;
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
            return mPace;
        }
        if (!mServing) {
            mServing = true;
            mPace = FIRST;
        }
        if (fillers > 0) {
            adjust(loads.stream().mapToDouble(Double::doubleValue).max().orElse(0));
        }
        return mPace;
    }

    private void adjust(double worst) {
        if (worst > 1) {
            mPace = (int) (mPace * BACK_OFF_MISSED);
        } else if (worst > NEAR) {
            mPace = (int) (mPace * BACK_OFF_NEAR);
        } else if (worst < AMPLE) {
            mPace = Math.min(FULL, mPace + RECOVERY);
        }
        if (mPace < LOWEST && worst >= AMPLE) {
            mPace = 0;
        }
    }
}
