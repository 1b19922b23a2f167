package org.knapweedbank.node.agent;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.TailLatency;

/**
 * Chooses the pace of the fillers of one VM from the tail latencies of its serving tasks.
 *
 * <p>A tail latency grows like that of a queue, with the inverse of the idle share, so what is
 * harmless at half the objective is a multiple of it near saturation. The controller therefore
 * works on the utilization that a latency stands for. It keeps a budget: by how much all fillers
 * together may raise that utilization. Fillers that come or go share the budget at once; the budget
 * itself follows the distance from a target that leaves room for the half second that figures are
 * old.
 */
final class FillerPacer {
    static final int FULL_PERCENT = 100;

    /**
     * Time over which the worker averages its figures. A second decision within it would correct
     * the same excess again, as the figures do not show the effect of the first one yet.
     */
    static final long AVERAGING_PERIOD_MILLIS = 500;

    /** Utilization of the worst serving task that the controller steers to. */
    private static final double TARGET_UTILIZATION = 0.74;

    /** Share of the room below the target by which the budget grows in one step. */
    private static final double RECOVERY_SHARE = 0.5;

    /** Budget of the first fillers beside serving tasks, before their effect is known. */
    private static final double INITIAL_BUDGET = 0.2;

    /** Decisions in a row with a missed objective after which fillers are halted. */
    private static final int MAX_CONSECUTIVE_MISSES = 3;

    private double mBudget = INITIAL_BUDGET;
    private int mConsecutiveMisses;
    private boolean mServingTasksPresent;
    private long mAdjustedAtMillis = Long.MIN_VALUE / 2;

    /**
     * Takes the newest latencies. Without fillers they say nothing of their effect, so the budget
     * stays as it is.
     *
     * @param nowMillis monotonic time in milliseconds
     * @param loads latency divided by objective of each serving task at work
     * @param pressure rise of utilization that the running fillers would cause at full pace
     */
    void observe(long nowMillis, Collection<Double> loads, double pressure) {
        mServingTasksPresent = !loads.isEmpty();
        if (!mServingTasksPresent) {
            mBudget = INITIAL_BUDGET;
            mConsecutiveMisses = 0;
        } else if (pressure > 0 && nowMillis - mAdjustedAtMillis >= AVERAGING_PERIOD_MILLIS) {
            mAdjustedAtMillis = nowMillis;
            adjustBudget(loads.stream().mapToDouble(Double::doubleValue).max().orElse(0), pressure);
        }
    }

    /**
     * Paces of the running fillers. The budget goes to those of the highest rank first, at full
     * pace as long as it covers them: a few jobs that end in time serve their callers better than
     * many that crawl. Fillers of one rank share what is left when it does not cover all of them.
     *
     * @param fillers the running fillers
     * @return the pace of each in percent, in the same order
     */
    List<Integer> paces(List<RunProfile> fillers) {
        if (!mServingTasksPresent) {
            return fillers.stream().map(filler -> FULL_PERCENT).toList();
        }
        TreeMap<Double, Double> pressureByRank = new TreeMap<>(Comparator.reverseOrder());
        fillers.forEach(f -> pressureByRank.merge(f.rank(), f.pressure(), Double::sum));
        Map<Double, Integer> paceByRank = new HashMap<>();
        double remaining = mBudget;
        for (Map.Entry<Double, Double> rank : pressureByRank.entrySet()) {
            double used = Math.min(remaining, rank.getValue());
            paceByRank.put(rank.getKey(), (int) (FULL_PERCENT * used / rank.getValue()));
            remaining -= used;
        }
        return fillers.stream().map(filler -> paceByRank.get(filler.rank())).toList();
    }

    private void adjustBudget(double worstLoad, double pressure) {
        double utilization = TailLatency.utilization(worstLoad);
        double headroom = TARGET_UTILIZATION - utilization;
        double used = Math.min(mBudget, pressure);
        mConsecutiveMisses = worstLoad > 1 ? mConsecutiveMisses + 1 : 0;
        if (mConsecutiveMisses >= MAX_CONSECUTIVE_MISSES) {
            mBudget = 0;
        } else {
            mBudget = Math.max(0, used + (headroom < 0 ? headroom : RECOVERY_SHARE * headroom));
        }
    }
}
