package org.knapweedbank.scheduling.quota;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.knapweedbank.model.Resources;
import org.knapweedbank.scheduling.PendingTask;
import org.knapweedbank.scheduling.TeamQuota;

/** Pending tasks, allocated resources and rank of one team. */
public final class TeamQueue {
    private static final TeamQuota NO_QUOTA = new TeamQuota(Resources.NONE, 1, 0);

    /** Orders teams by rank; the ranks are set by {@link #updateRank}. */
    static final Comparator<TeamQueue> ORDER = Comparator.comparing(team -> team.mRank);

    private final String mName;
    private final Map<TaskShape, ShapeQueue> mShapes = new HashMap<>();
    private final TreeSet<ShapeQueue> mReadyShapes =
            new TreeSet<>(Comparator.comparing(ShapeQueue::firstTask, ShapeQueue.ORDER));
    private final TreeSet<ShapeQueue> mBlockedShapes =
            new TreeSet<>(Comparator.comparing(ShapeQueue::firstTask, ShapeQueue.ORDER));
    private final Map<Resources, TreeSet<ShapeQueue>> mBlockedShapesByNeed = new HashMap<>();
    private TeamQuota mQuota = NO_QUOTA;
    private Resources mAllocated = Resources.NONE;

    /** Exponentially decayed share of the capacity that was allocated over quota. */
    private double mDecayedUsage;

    private long mDecayUpdatedNanos;

    /** Weight of the team for capacity over quota, corrected by its past usage. */
    private double mEffectiveWeight = 1;

    private TeamRank mRank;

    TeamQueue(String name, long nowNanos) {
        mName = name;
        mDecayUpdatedNanos = nowNanos;
    }

    /**
     * Returns the name of the team.
     *
     * @return the name
     */
    public String name() {
        return mName;
    }

    /**
     * Returns the quota of the team.
     *
     * @return the quota; without deserved resources and with weight 1 if none is set
     */
    public TeamQuota quota() {
        return mQuota;
    }

    /**
     * Returns the resources allocated to tasks of the team.
     *
     * @return the resources
     */
    public Resources allocated() {
        return mAllocated;
    }

    /**
     * Returns whether more than the deserved amount of some resource is allocated to the team.
     *
     * @return true if over quota
     */
    public boolean overQuota() {
        return !mAllocated.fitsIn(mQuota.deserved());
    }

    void setQuota(TeamQuota quota) {
        mQuota = quota == null ? NO_QUOTA : quota;
        mEffectiveWeight = mQuota.weight();
    }

    void setAllocated(Resources allocated) {
        mAllocated = allocated;
    }

    void setEffectiveWeight(double weight) {
        mEffectiveWeight = weight;
    }

    TreeSet<ShapeQueue> readyShapes() {
        return mReadyShapes;
    }

    TreeSet<ShapeQueue> blockedShapes() {
        return mBlockedShapes;
    }

    void addBlockedShape(ShapeQueue shape) {
        mBlockedShapes.add(shape);
        mBlockedShapesByNeed
                .computeIfAbsent(
                        shape.blockedNeed(), need -> new TreeSet<>(mBlockedShapes.comparator()))
                .add(shape);
    }

    void removeBlockedShape(ShapeQueue shape) {
        mBlockedShapes.remove(shape);
        TreeSet<ShapeQueue> shapes = mBlockedShapesByNeed.get(shape.blockedNeed());
        shapes.remove(shape);
        if (shapes.isEmpty()) {
            mBlockedShapesByNeed.remove(shape.blockedNeed());
        }
    }

    /**
     * Returns the first blocked non-urgent shape that requires one of the given amounts, or null.
     */
    ShapeQueue firstBlockedNonUrgent(List<Resources> needs) {
        ShapeQueue first = null;
        for (Resources need : needs) {
            TreeSet<ShapeQueue> shapes = mBlockedShapesByNeed.get(need);
            ShapeQueue shape = shapes == null ? null : shapes.last();
            if (shape != null && !shape.urgent()) {
                shape = firstNonUrgent(shapes);
                first =
                        first == null
                                        || ShapeQueue.ORDER.compare(
                                                        shape.firstTask(), first.firstTask())
                                                < 0
                                ? shape
                                : first;
            }
        }
        return first;
    }

    /**
     * Returns the first non-urgent shape of a set whose last shape is not urgent. Urgent shapes
     * come first.
     */
    private static ShapeQueue firstNonUrgent(TreeSet<ShapeQueue> shapes) {
        for (ShapeQueue shape : shapes) {
            if (!shape.urgent()) {
                return shape;
            }
        }
        throw new IllegalStateException("all shapes of the set are urgent");
    }

    Map<TaskShape, ShapeQueue> shapes() {
        return mShapes;
    }

    /**
     * Returns the dominant share of the total capacity that is allocated to the team over its
     * quota, from 0 to 1.
     */
    double overQuotaShare(Resources totalCapacity) {
        Resources over = mAllocated.minus(mQuota.deserved());
        return dominantShare(over, totalCapacity);
    }

    private static double dominantShare(Resources amount, Resources totalCapacity) {
        double cpu = (double) amount.milliCpu() / Math.max(1, totalCapacity.milliCpu());
        double memory = (double) amount.memoryMb() / Math.max(1, totalCapacity.memoryMb());
        double accelerators =
                (double) amount.accelerators() / Math.max(1, totalCapacity.accelerators());
        return Math.max(0, Math.max(cpu, Math.max(memory, accelerators)));
    }

    /**
     * Updates the decayed usage over quota to the current time. Must be called before the allocated
     * resources change.
     */
    void updateDecayedUsage(long nowNanos, double halfLifeNanos, Resources totalCapacity) {
        double retained = Math.pow(0.5, (nowNanos - mDecayUpdatedNanos) / halfLifeNanos);
        mDecayedUsage = mDecayedUsage * retained + overQuotaShare(totalCapacity) * (1 - retained);
        mDecayUpdatedNanos = nowNanos;
    }

    double decayedUsage() {
        return mDecayedUsage;
    }

    /** Updates the rank by the first ready task; at least one task must be ready. */
    void updateRank(Resources totalCapacity) {
        mRank = rankOf(mReadyShapes.first().firstTask(), totalCapacity);
    }

    /** Returns the rank that the team has if the given task is its first one. */
    TeamRank rankOf(PendingTask firstTask, Resources totalCapacity) {
        if (mAllocated.plus(firstTask.resources()).fitsIn(mQuota.deserved())) {
            double ratio = dominantShare(mAllocated, mQuota.deserved());
            return new TeamRank(firstTask.urgent(), true, 0, ratio, mName);
        }
        double ratio =
                mEffectiveWeight <= 0
                        ? Double.MAX_VALUE
                        : overQuotaShare(totalCapacity) / mEffectiveWeight;
        return new TeamRank(firstTask.urgent(), false, mQuota.priority(), ratio, mName);
    }
}
