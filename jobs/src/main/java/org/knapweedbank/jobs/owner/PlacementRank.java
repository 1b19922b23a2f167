package org.knapweedbank.jobs.owner;

import java.util.Comparator;

/**
 * Order in which waiting tasks are placed. An overdue task ({@link Task#overdue}) goes before all
 * tasks that are not overdue and whose queues have its priority or a later one. It would otherwise
 * wait for as long as batch tasks keep coming, since the value density of its job drops when the
 * job is late. Of overdue tasks, those that have not been refused go first, then those that have
 * waited longest.
 *
 * @param priority priority of the queue, 0 first; 0 for a task that has been overdue for long
 * @param overdue whether the task is overdue
 * @param refused whether a VM has refused an overdue task since its last start
 * @param waitingSince time since which an overdue task waits, in monotonic milliseconds
 * @param urgency urgency of the job
 */
record PlacementRank(
        int priority, boolean overdue, boolean refused, long waitingSince, JobUrgency urgency)
        implements Comparable<PlacementRank> {
    /**
     * Wait after which a long-running task goes before tasks of more urgent queues, too, in
     * milliseconds. It has to run again within 3 s once its VM is known to be lost, which leaves a
     * second for room to become free and for a refused order.
     */
    static final long MAX_WAIT_FOR_URGENT_MILLIS = 2_000;

    private static final Comparator<PlacementRank> OVERDUE_ORDER =
            Comparator.comparing(PlacementRank::refused)
                    .thenComparingLong(PlacementRank::waitingSince)
                    .thenComparing(PlacementRank::urgency);

    /** Returns the rank of the tasks of a job that are not overdue. */
    static PlacementRank of(JobUrgency urgency) {
        return new PlacementRank(urgency.priority(), false, false, 0, urgency);
    }

    /** Returns the rank of a task. */
    static PlacementRank of(Task task, JobUrgency urgency, long now) {
        if (!task.overdue(now)) {
            return of(urgency);
        }
        boolean beforeAll = task.mWaitingSince <= now - MAX_WAIT_FOR_URGENT_MILLIS;
        return new PlacementRank(
                beforeAll ? 0 : urgency.priority(),
                true,
                !task.mRefusals.isEmpty(),
                task.mWaitingSince,
                urgency);
    }

    @Override
    public int compareTo(PlacementRank other) {
        if (priority != other.priority) {
            return Integer.compare(priority, other.priority);
        }
        if (overdue != other.overdue) {
            return overdue ? -1 : 1;
        }
        return overdue ? OVERDUE_ORDER.compare(this, other) : urgency.compareTo(other.urgency);
    }
}
