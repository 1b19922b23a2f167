package org.knapweedbank.scheduling.quota;

import java.util.Collection;
import java.util.Comparator;
import java.util.TreeSet;
import org.knapweedbank.model.Resources;
import org.knapweedbank.scheduling.PendingTask;

/** Pending tasks of one team that have the same shape. */
public final class ShapeQueue {
    /** Orders urgent tasks first, then by descending priority, then by submission time. */
    static final Comparator<PendingTask> ORDER =
            Comparator.comparing((PendingTask task) -> !task.urgent())
                    .thenComparing(PendingTask::priority, Comparator.reverseOrder())
                    .thenComparingLong(PendingTask::submittedNanos)
                    .thenComparing(PendingTask::id);

    private final TeamQueue mTeam;
    private final TaskShape mShape;
    private final TreeSet<PendingTask> mTasks = new TreeSet<>(ORDER);
    private Resources mBlockedNeed;

    ShapeQueue(TeamQueue team, TaskShape shape) {
        mTeam = team;
        mShape = shape;
    }

    /**
     * Returns the first task.
     *
     * @return the task
     */
    public PendingTask firstTask() {
        return mTasks.first();
    }

    /**
     * Returns whether the tasks are urgent and may preempt batch tasks.
     *
     * @return true if urgent
     */
    public boolean urgent() {
        return mShape.urgent();
    }

    TeamQueue team() {
        return mTeam;
    }

    TaskShape shape() {
        return mShape;
    }

    Collection<PendingTask> tasks() {
        return mTasks;
    }

    boolean blocked() {
        return mBlockedNeed != null;
    }

    Resources blockedNeed() {
        return mBlockedNeed;
    }

    void setBlockedNeed(Resources need) {
        mBlockedNeed = need;
    }
}
