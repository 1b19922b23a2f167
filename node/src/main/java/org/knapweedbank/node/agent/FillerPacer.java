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
    static final int FULL = 100;

    /**
     * Time over which the worker averages its figures. A second decision within it would correct
     * the same excess again, as the figures do not show the effect of the first one yet.
     */
    static final long FIGURE_PERIOD_MILLIS = 500;

    /** Utilization of the worst serving task that the controller steers to. */
    private static final double TARGET = 0.74;

    /** Share of the room below the target by which the budget grows in one step. */
    private static final double RECOVERY = 0.5;

    /** Budget of the first fillers beside serving tasks, before their effect is known. */
    private static final double FIRST_BUDGET = 0.2;

    /** Decisions in a row with a missed objective after which fillers are halted. */
    private static final int LONGEST_MISS = 3;

    private double mBudget = FIRST_BUDGET;
    private int mMissed;
    private boolean mServing;
    private long mAdjustedAt = Long.MIN_VALUE / 2;

    /**
     * Takes the newest latencies. Without fillers they say nothing of their effect, so the budget
     * stays as it is.
     *
     * @param now monotonic time in milliseconds
     * @param loads latency divided by objective of each serving task at work
     * @param pressure rise of utilization that the running fillers would cause at full pace
     */
    void observe(long now, Collection<Double> loads, double pressure) {
        mServing = !loads.isEmpty();
        if (!mServing) {
            mBudget = FIRST_BUDGET;
            mMissed = 0;
        } else if (pressure > 0 && now - mAdjustedAt >= FIGURE_PERIOD_MILLIS) {
            mAdjustedAt = now;
            adjust(loads.stream().mapToDouble(Double::doubleValue).max().orElse(0), pressure);
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
        if (!mServing) {
            return fillers.stream().map(filler -> FULL).toList();
        }
        TreeMap<Double, Double> pressures = new TreeMap<>(Comparator.reverseOrder());
        fillers.forEach(f -> pressures.merge(f.rank(), f.pressure(), Double::sum));
        Map<Double, Integer> paces = new HashMap<>();
        double left = mBudget;
        for (Map.Entry<Double, Double> rank : pressures.entrySet()) {
            double used = Math.min(left, rank.getValue());
            paces.put(rank.getKey(), (int) (FULL * used / rank.getValue()));
            left -= used;
        }
        return fillers.stream().map(filler -> paces.get(filler.rank())).toList();
    }

    private void adjust(double worst, double pressure) {
        double utilization = TailLatency.utilization(worst);
        double room = TARGET - utilization;
        double used = Math.min(mBudget, pressure);
        mMissed = worst > 1 ? mMissed + 1 : 0;
        if (mMissed >= LONGEST_MISS) {
            mBudget = 0;
        } else {
            mBudget = Math.max(0, used + (room < 0 ? room : RECOVERY * room));
        }
    }
}
