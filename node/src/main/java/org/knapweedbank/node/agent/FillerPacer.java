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
 * Computes the pace of the fillers of one VM from the tail latencies of its serving tasks. A filler
 * is a batch task that uses spare processor time; its pace is the percentage of full speed at which
 * it runs.
 *
 * <p>Tail latency grows as in a queue, with the inverse of the idle share. Additional load that is
 * harmless at half the objective can multiply the latency near saturation. The controller therefore
 * works on the utilization that corresponds to a latency. It keeps a budget, which is the
 * utilization that all fillers together may add. The budget is redistributed immediately when a
 * filler starts or ends. The budget itself is adjusted by the distance from a target utilization,
 * which leaves headroom because measured latencies are up to half a second old.
 */
final class FillerPacer {
    /** Pace of an unthrottled filler. */
    static final int FULL_PERCENT = 100;

    /**
     * Period over which the worker averages latencies. A second adjustment within it would correct
     * the same excess twice, because the averages do not reflect the first one yet.
     */
    static final long AVERAGING_PERIOD_MILLIS = 500;

    /** Utilization of the most loaded serving task that the controller aims at. */
    private static final double TARGET_UTILIZATION = 0.74;

    /** Share of the headroom below the target by which one adjustment raises the budget. */
    private static final double RECOVERY_SHARE = 0.5;

    /** Budget of the first fillers beside serving tasks, before their effect has been measured. */
    private static final double INITIAL_BUDGET = 0.2;

    /** Consecutive adjustments with a missed objective after which fillers are halted. */
    private static final int MAX_CONSECUTIVE_MISSES = 3;

    /** Utilization that all fillers together may add. */
    private double mBudget = INITIAL_BUDGET;

    /** Consecutive adjustments at which an objective was missed. */
    private int mConsecutiveMisses;

    private boolean mServingTasksPresent;
    private long mAdjustedAtMillis = Long.MIN_VALUE / 2;

    /**
     * Adjusts the budget to the newest latencies. The budget is kept while no filler runs, because
     * the latencies then do not show the effect of fillers.
     *
     * @param nowMillis monotonic time in milliseconds
     * @param loads ratio of latency to objective of each active serving task
     * @param pressure utilization that the running fillers would add at full pace
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
     * Returns the paces of the running fillers. The budget is assigned to fillers of the highest
     * rank first, at full pace while it suffices, because callers gain more from a few jobs that
     * end in time than from many slow ones. If the rest does not suffice for all fillers of a rank,
     * they share it.
     *
     * @param fillers profiles of the running fillers
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
