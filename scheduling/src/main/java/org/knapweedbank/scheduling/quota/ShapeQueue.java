package org.knapweedbank.scheduling.quota;

import java.util.Collection;
import java.util.Comparator;
import java.util.TreeSet;
import org.knapweedbank.model.Resources;
import org.knapweedbank.scheduling.PendingTask;

/** Pending tasks of one team with the same shape, in order of priority and submission. */
public final class ShapeQueue {
    /** Urgent tasks first, then higher priority, then earlier submission. */
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
     * The first task.
     *
     * @return the task
     */
    public PendingTask firstTask() {
        return mTasks.first();
    }

    /**
     * Tells whether the tasks may preempt.
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
