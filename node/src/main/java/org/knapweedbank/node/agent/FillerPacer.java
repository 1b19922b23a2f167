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

    private int mPace = FULL;

    /** Present pace in percent. */
    int pace() {
        return mPace;
    }

    /**
     * Decides the next pace.
     *
     * @param loads latency divided by objective of each serving task at work
     * @return the pace in percent
     */
    int next(Collection<Double> loads) {
        double worst = loads.stream().mapToDouble(Double::doubleValue).max().orElse(0);
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
        return mPace;
    }
}
