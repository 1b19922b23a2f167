package org.knapweedbank.scheduling.quota;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.knapweedbank.model.Resources;
import org.knapweedbank.scheduling.PendingTask;
import org.knapweedbank.scheduling.TeamQuota;

/** Pending tasks, usage and rank of one team. */
public final class TeamQueue {
    private static final TeamQuota NO_QUOTA = new TeamQuota(Resources.NONE, 1, 0);

    /** Order in which teams are served; the ranks are set by {@link #updateRank}. */
    static final Comparator<TeamQueue> ORDER = Comparator.comparing(team -> team.mRank);

    private final String mName;
    private final Map<Shape, ShapeQueue> mShapes = new HashMap<>();
    private final TreeSet<ShapeQueue> mReady =
            new TreeSet<>(Comparator.comparing(ShapeQueue::head, ShapeQueue.ORDER));
    private final TreeSet<ShapeQueue> mBlocked =
            new TreeSet<>(Comparator.comparing(ShapeQueue::head, ShapeQueue.ORDER));
    private final Map<Resources, TreeSet<ShapeQueue>> mBlockedByNeed = new HashMap<>();
    private TeamQuota mQuota = NO_QUOTA;
    private Resources mUsed = Resources.NONE;
    private double mDecayedUsage;
    private long mDecayedNanos;
    private double mEffectiveWeight = 1;
    private TeamRank mRank;

    TeamQueue(String name, long nowNanos) {
        mName = name;
        mDecayedNanos = nowNanos;
    }

    /**
     * Name of the team.
     *
     * @return the name
     */
    public String name() {
        return mName;
    }

    /**
     * Quota of the team.
     *
     * @return the quota; nothing deserved and weight 1 if none is set
     */
    public TeamQuota quota() {
        return mQuota;
    }

    /**
     * Resources that the tasks of the team hold.
     *
     * @return the amount
     */
    public Resources used() {
        return mUsed;
    }

    /**
     * Tells whether the team holds more than it deserves in some component.
     *
     * @return true if over quota
     */
    public boolean overQuota() {
        return !mUsed.fitsIn(mQuota.deserved());
    }

    void setQuota(TeamQuota quota) {
        mQuota = quota == null ? NO_QUOTA : quota;
        mEffectiveWeight = mQuota.weight();
    }

    void setUsed(Resources used) {
        mUsed = used;
    }

    void setEffectiveWeight(double weight) {
        mEffectiveWeight = weight;
    }

    TreeSet<ShapeQueue> ready() {
        return mReady;
    }

    TreeSet<ShapeQueue> blocked() {
        return mBlocked;
    }

    void addBlocked(ShapeQueue shape) {
        mBlocked.add(shape);
        mBlockedByNeed
                .computeIfAbsent(shape.blockedNeed(), need -> new TreeSet<>(mBlocked.comparator()))
                .add(shape);
    }

    void removeBlocked(ShapeQueue shape) {
        mBlocked.remove(shape);
        TreeSet<ShapeQueue> shapes = mBlockedByNeed.get(shape.blockedNeed());
        shapes.remove(shape);
        if (shapes.isEmpty()) {
            mBlockedByNeed.remove(shape.blockedNeed());
        }
    }

    /** First blocked shape that is not urgent and has one of the needs, or null. */
    ShapeQueue firstBlocked(List<Resources> needs) {
        ShapeQueue first = null;
        for (Resources need : needs) {
            TreeSet<ShapeQueue> shapes = mBlockedByNeed.get(need);
            ShapeQueue shape = shapes == null ? null : shapes.last();
            if (shape != null && !shape.urgent()) {
                shape = firstNotUrgent(shapes);
                first =
                        first == null || ShapeQueue.ORDER.compare(shape.head(), first.head()) < 0
                                ? shape
                                : first;
            }
        }
        return first;
    }

    /** Urgent shapes come first in a set whose last shape is not urgent. */
    private static ShapeQueue firstNotUrgent(TreeSet<ShapeQueue> shapes) {
        for (ShapeQueue shape : shapes) {
            if (!shape.urgent()) {
                return shape;
            }
        }
        throw new IllegalStateException("the last shape is not urgent");
    }

    Map<Shape, ShapeQueue> shapes() {
        return mShapes;
    }

    /** Dominant share of the partition that the team holds over its quota, from 0 to 1. */
    double overShare(Resources total) {
        Resources over = mUsed.minus(mQuota.deserved());
        return dominantShare(over, total);
    }

    private static double dominantShare(Resources amount, Resources total) {
        double cpu = (double) amount.milliCpu() / Math.max(1, total.milliCpu());
        double memory = (double) amount.memoryMb() / Math.max(1, total.memoryMb());
        double accelerators = (double) amount.accelerators() / Math.max(1, total.accelerators());
        return Math.max(0, Math.max(cpu, Math.max(memory, accelerators)));
    }

    /** Brings the decayed usage to the present; call before the usage changes. */
    void decay(long nowNanos, double halfLifeNanos, Resources total) {
        double keep = Math.pow(0.5, (nowNanos - mDecayedNanos) / halfLifeNanos);
        mDecayedUsage = mDecayedUsage * keep + overShare(total) * (1 - keep);
        mDecayedNanos = nowNanos;
    }

    double decayedUsage() {
        return mDecayedUsage;
    }

    /** Updates the rank for the first ready task; some task must be ready. */
    void updateRank(Resources total) {
        mRank = rankOf(mReady.first().head(), total);
    }

    /** Rank of the team if a task is its first. */
    TeamRank rankOf(PendingTask head, Resources total) {
        if (mUsed.plus(head.resources()).fitsIn(mQuota.deserved())) {
            double ratio = dominantShare(mUsed, mQuota.deserved());
            return new TeamRank(head.urgent(), true, 0, ratio, mName);
        }
        double ratio =
                mEffectiveWeight <= 0 ? Double.MAX_VALUE : overShare(total) / mEffectiveWeight;
        return new TeamRank(head.urgent(), false, mQuota.priority(), ratio, mName);
    }
}
