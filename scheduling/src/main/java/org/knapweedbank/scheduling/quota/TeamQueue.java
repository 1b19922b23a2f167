package org.knapweedbank.scheduling.quota;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.knapweedbank.model.Resources;
import org.knapweedbank.scheduling.PendingTask;
import org.knapweedbank.scheduling.TeamQuota;

/** Pending tasks, usage and rank of one team. */
public final class TeamQueue {
    private static final TeamQuota NO_QUOTA = new TeamQuota(Resources.NONE, 1, 0);

    /** Order in which teams are served; all keys are computed by {@link #rank}. */
    static final Comparator<TeamQueue> ORDER =
            Comparator.comparing((TeamQueue team) -> !team.mHeadUrgent)
                    .thenComparing(team -> !team.mHeadDeserved)
                    .thenComparingInt(team -> -team.mRankPriority)
                    .thenComparingDouble(team -> team.mRankRatio)
                    .thenComparing(TeamQueue::name);

    private final String mName;
    private final Map<Shape, ShapeQueue> mShapes = new HashMap<>();
    private final TreeSet<ShapeQueue> mReady =
            new TreeSet<>(Comparator.comparing(ShapeQueue::head, ShapeQueue.ORDER));
    private TeamQuota mQuota = NO_QUOTA;
    private Resources mUsed = Resources.NONE;
    private double mDecayedUsage;
    private long mDecayedNanos;
    private double mEffectiveWeight = 1;
    private boolean mHeadUrgent;
    private boolean mHeadDeserved;
    private int mRankPriority;
    private double mRankRatio;

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

    /** Computes the keys of {@link #ORDER} for the first ready task; some task must be ready. */
    void rank(Resources total) {
        PendingTask head = mReady.first().head();
        mHeadUrgent = head.urgent();
        mHeadDeserved = mUsed.plus(head.resources()).fitsIn(mQuota.deserved());
        if (mHeadDeserved) {
            mRankPriority = 0;
            mRankRatio = dominantShare(mUsed, mQuota.deserved());
        } else {
            mRankPriority = mQuota.priority();
            mRankRatio =
                    mEffectiveWeight <= 0 ? Double.MAX_VALUE : overShare(total) / mEffectiveWeight;
        }
    }
}
