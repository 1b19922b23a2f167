package org.knapweedbank.scheduling.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.scheduling.PendingTask;
import org.knapweedbank.scheduling.TeamQuota;
import org.knapweedbank.time.Clock;

/**
 * Pending tasks of all teams. Urgent tasks go first, then tasks of teams within their deserved
 * share, then teams by priority, then teams by their usage over quota divided by their weight.
 *
 * <p>A shape that fits on no VM at the moment is blocked until a VM with enough capacity for it has
 * gained capacity. A blocked shape is not tried again before that and does not delay other shapes.
 */
public final class PendingQueues {
    /** Interval at which the weights of time-aware sharing are recomputed. */
    private static final long WEIGHT_UPDATE_INTERVAL_NANOS = 1_000_000_000L;

    private record Entry(PendingTask task, ShapeQueue shape) {}

    private final Clock mClock;
    private final ShareMode mShareMode;
    private final Map<String, TeamQueue> mTeamsByName = new TreeMap<>();
    private final Map<TaskId, Entry> mEntriesByTask = new HashMap<>();
    private final Map<JobId, Integer> mPendingCountByJob = new HashMap<>();

    /** Teams with at least one ready shape, ordered by rank. */
    private final TreeSet<TeamQueue> mRankedTeams = new TreeSet<>(TeamQueue.ORDER);

    /** Number of blocked non-urgent shapes by the resources that they require. */
    private final Map<Resources, Integer> mBlockedShapeCountByNeed = new HashMap<>();

    /** Blocked urgent shapes, those blocked longest first. */
    private final Set<ShapeQueue> mBlockedUrgentShapes = new LinkedHashSet<>();

    private Resources mTotalCapacity = Resources.NONE;
    private long mWeightsComputedNanos;

    /**
     * Creates empty queues.
     *
     * @param clock source of time
     * @param shareMode rule for sharing the capacity beyond the deserved shares
     */
    public PendingQueues(Clock clock, ShareMode shareMode) {
        mClock = clock;
        mShareMode = shareMode;
        mWeightsComputedNanos = clock.monotonicNanos();
    }

    /**
     * Sets the quotas. Teams without a quota have no deserved share and weight 1.
     *
     * @param quotas quota by team name
     */
    public void setQuotas(Map<String, TeamQuota> quotas) {
        quotas.keySet().forEach(this::team);
        mTeamsByName.values().forEach(team -> team.setQuota(quotas.get(team.name())));
        computeEffectiveWeights();
        rebuildRanking();
    }

    /**
     * Sets the total capacity of the partition, which is the basis of the teams' shares.
     *
     * @param totalCapacity total capacity of the registered VMs
     */
    public void setTotalCapacity(Resources totalCapacity) {
        if (!totalCapacity.equals(mTotalCapacity)) {
            updateDecayedUsages();
            mTotalCapacity = totalCapacity;
            rebuildRanking();
        }
    }

    /**
     * Returns the queue of a team and creates it if necessary.
     *
     * @param name name of the team
     * @return the queue
     */
    public TeamQueue team(String name) {
        TeamQueue existing = mTeamsByName.get(name);
        if (existing != null) {
            return existing;
        }
        TeamQueue team = new TeamQueue(name, mClock.monotonicNanos());
        mTeamsByName.put(name, team);
        computeEffectiveWeights();
        rebuildRanking();
        return team;
    }

    /**
     * Adds a task and replaces an earlier one with the same identifier.
     *
     * @param task the task
     */
    public void add(PendingTask task) {
        remove(task.id());
        TeamQueue team = team(task.team());
        ShapeQueue shape =
                team.shapes().computeIfAbsent(TaskShape.of(task), key -> new ShapeQueue(team, key));
        modifyTasks(shape, () -> shape.tasks().add(task));
        mEntriesByTask.put(task.id(), new Entry(task, shape));
        mPendingCountByJob.merge(task.id().job(), 1, Integer::sum);
    }

    /**
     * Removes a task.
     *
     * @param id identifier of the task
     * @return the removed task, or null if it was not pending
     */
    public PendingTask remove(TaskId id) {
        Entry entry = mEntriesByTask.remove(id);
        if (entry == null) {
            return null;
        }
        modifyTasks(entry.shape(), () -> entry.shape().tasks().remove(entry.task()));
        mPendingCountByJob.merge(
                id.job(), -1, (count, delta) -> count == 1 ? null : Integer.valueOf(count - 1));
        return entry.task();
    }

    /**
     * Returns the shape to schedule next.
     *
     * @return the shape, or null if all pending shapes are blocked or no task is pending
     */
    public ShapeQueue nextShape() {
        refreshWeights();
        return mRankedTeams.isEmpty() ? null : mRankedTeams.first().readyShapes().first();
    }

    /**
     * Blocks a shape until a VM gains enough capacity for it.
     *
     * @param shape the shape
     * @param need required resources, which no VM has available
     */
    public void block(ShapeQueue shape, Resources need) {
        TeamQueue team = shape.team();
        removeFromRanking(team);
        team.readyShapes().remove(shape);
        shape.setBlockedNeed(need);
        team.addBlockedShape(shape);
        updateBlockedCount(shape, 1);
        addToRanking(team);
    }

    private void unblock(ShapeQueue shape) {
        TeamQueue team = shape.team();
        removeFromRanking(team);
        team.removeBlockedShape(shape);
        updateBlockedCount(shape, -1);
        shape.setBlockedNeed(null);
        team.readyShapes().add(shape);
        addToRanking(team);
    }

    private void updateBlockedCount(ShapeQueue shape, int change) {
        if (!shape.urgent()) {
            mBlockedShapeCountByNeed.merge(
                    shape.blockedNeed(),
                    change,
                    (count, delta) -> count + delta == 0 ? null : Integer.valueOf(count + delta));
        } else if (change > 0) {
            mBlockedUrgentShapes.add(shape);
        } else {
            mBlockedUrgentShapes.remove(shape);
        }
    }

    /**
     * Unblocks the shapes that match a condition.
     *
     * @param condition condition on the first task of a shape and the resources that it was blocked
     *     for
     */
    public void unblockIf(BiPredicate<PendingTask, Resources> condition) {
        for (TeamQueue team : mTeamsByName.values()) {
            List<ShapeQueue> changed =
                    team.blockedShapes().stream()
                            .filter(shape -> condition.test(shape.firstTask(), shape.blockedNeed()))
                            .toList();
            changed.forEach(this::unblock);
        }
    }

    /**
     * Unblocks urgent shapes, because new preemption victims may have started.
     *
     * @param limit maximum number of shapes; those blocked longest are unblocked first
     */
    public void unblockUrgent(int limit) {
        mBlockedUrgentShapes.stream().limit(limit).toList().forEach(this::unblock);
    }

    /**
     * Unblocks shapes that fit into the capacity gained by VMs, in the order of the team ranks and
     * only as many as fit together. Unblocking every shape that fits one by one takes seconds per
     * decision when 38,000 shapes are waiting.
     *
     * @param capacities available capacity of each VM; a VM is removed from the iterator if no
     *     blocked shape fits on it
     * @return true if a shape was unblocked
     */
    public boolean unblockFitting(Iterator<Resources> capacities) {
        List<TeamQueue> teamsByRank = null;
        boolean unblocked = false;
        while (capacities.hasNext()) {
            Resources capacity = capacities.next();
            List<Resources> needs = fittingNeeds(mBlockedShapeCountByNeed.keySet(), capacity);
            if (needs.isEmpty()) {
                capacities.remove();
                continue;
            }
            teamsByRank = teamsByRank == null ? blockedTeamsByRank() : teamsByRank;
            unblocked |= unblockFittingOnVm(capacity, needs, teamsByRank);
        }
        return unblocked;
    }

    private boolean unblockFittingOnVm(
            Resources capacity, List<Resources> fittingNeeds, List<TeamQueue> teamsByRank) {
        Resources remaining = capacity;
        List<Resources> needs = fittingNeeds;
        boolean unblocked = false;
        for (TeamQueue team : teamsByRank) {
            ShapeQueue shape = team.firstBlockedNonUrgent(needs);
            if (shape != null) {
                remaining = remaining.minus(shape.blockedNeed());
                unblock(shape);
                unblocked = true;
                needs = fittingNeeds(needs, remaining);
                if (needs.isEmpty()) {
                    break;
                }
            }
        }
        return unblocked;
    }

    private static List<Resources> fittingNeeds(Collection<Resources> needs, Resources capacity) {
        List<Resources> fittingNeeds = new ArrayList<>();
        for (Resources need : needs) {
            if (need.fitsIn(capacity)) {
                fittingNeeds.add(need);
            }
        }
        return fittingNeeds;
    }

    private List<TeamQueue> blockedTeamsByRank() {
        return mTeamsByName.values().stream()
                .filter(team -> !team.blockedShapes().isEmpty())
                .map(team -> team.rankOf(team.blockedShapes().first().firstTask(), mTotalCapacity))
                .sorted()
                .map(rank -> mTeamsByName.get(rank.team()))
                .toList();
    }

    /**
     * Adds to the resources allocated to a team.
     *
     * @param name name of the team
     * @param change additionally allocated resources; negative components are released
     */
    public void addAllocated(String name, Resources change) {
        TeamQueue team = team(name);
        removeFromRanking(team);
        if (mShareMode instanceof ShareMode.TimeAware timeAware) {
            team.updateDecayedUsage(
                    mClock.monotonicNanos(), timeAware.halfLife().toNanos(), mTotalCapacity);
        }
        team.setAllocated(team.allocated().plus(change));
        addToRanking(team);
    }

    /**
     * Returns the number of pending tasks of a job.
     *
     * @param job the job
     * @return the number
     */
    public int pendingCount(JobId job) {
        return mPendingCountByJob.getOrDefault(job, 0);
    }

    /**
     * Returns the first pending task of a job by priority and submission time.
     *
     * @param job the job
     * @return the task, or null if no task of the job is pending
     */
    public PendingTask firstPending(JobId job) {
        return mEntriesByTask.values().stream()
                .map(Entry::task)
                .filter(task -> task.id().job().equals(job))
                .min(ShapeQueue.ORDER)
                .orElse(null);
    }

    /**
     * Returns whether the shape of a pending task is blocked.
     *
     * @param id identifier of the task
     * @return true if it is blocked
     */
    public boolean blocked(TaskId id) {
        Entry entry = mEntriesByTask.get(id);
        return entry != null && entry.shape().blocked();
    }

    /**
     * Returns the number of pending tasks.
     *
     * @return the number
     */
    public int size() {
        return mEntriesByTask.size();
    }

    /**
     * Returns the queues of all known teams.
     *
     * @return the queues in the order of the team names
     */
    public Collection<TeamQueue> teams() {
        return mTeamsByName.values();
    }

    /**
     * Modifies the tasks of a shape and updates its position in the sets that are ordered by the
     * first task.
     */
    private void modifyTasks(ShapeQueue shape, Runnable modification) {
        TeamQueue team = shape.team();
        removeFromRanking(team);
        boolean blocked = shape.blocked();
        if (!shape.tasks().isEmpty()) {
            if (blocked) {
                team.removeBlockedShape(shape);
            } else {
                team.readyShapes().remove(shape);
            }
        }
        modification.run();
        if (shape.tasks().isEmpty()) {
            team.shapes().remove(shape.shape());
            if (blocked) {
                updateBlockedCount(shape, -1);
            }
        } else if (blocked) {
            team.addBlockedShape(shape);
        } else {
            team.readyShapes().add(shape);
        }
        addToRanking(team);
    }

    private void removeFromRanking(TeamQueue team) {
        if (!team.readyShapes().isEmpty()) {
            mRankedTeams.remove(team);
        }
    }

    private void addToRanking(TeamQueue team) {
        if (!team.readyShapes().isEmpty()) {
            team.updateRank(mTotalCapacity);
            mRankedTeams.add(team);
        }
    }

    private void rebuildRanking() {
        mRankedTeams.clear();
        mTeamsByName.values().forEach(this::addToRanking);
    }

    private void refreshWeights() {
        if (mShareMode instanceof ShareMode.TimeAware
                && mClock.monotonicNanos() - mWeightsComputedNanos
                        >= WEIGHT_UPDATE_INTERVAL_NANOS) {
            updateDecayedUsages();
            computeEffectiveWeights();
            rebuildRanking();
        }
    }

    private void updateDecayedUsages() {
        if (mShareMode instanceof ShareMode.TimeAware timeAware) {
            long now = mClock.monotonicNanos();
            mTeamsByName
                    .values()
                    .forEach(
                            team ->
                                    team.updateDecayedUsage(
                                            now, timeAware.halfLife().toNanos(), mTotalCapacity));
        }
    }

    private void computeEffectiveWeights() {
        mWeightsComputedNanos = mClock.monotonicNanos();
        if (!(mShareMode instanceof ShareMode.TimeAware timeAware)) {
            return;
        }
        List<TeamQueue> active =
                mTeamsByName.values().stream()
                        .filter(team -> !team.shapes().isEmpty() || team.decayedUsage() > 0)
                        .toList();
        double totalWeight =
                (active.isEmpty() ? mTeamsByName.values() : active)
                        .stream().mapToDouble(team -> team.quota().weight()).sum();
        double totalUsage = active.stream().mapToDouble(TeamQueue::decayedUsage).sum();
        // Inactive teams get a weight on the same scale, because they may submit tasks at any time.
        for (TeamQueue team : mTeamsByName.values()) {
            double weightShare = team.quota().weight() / Math.max(Double.MIN_NORMAL, totalWeight);
            double usageShare = totalUsage <= 0 ? weightShare : team.decayedUsage() / totalUsage;
            team.setEffectiveWeight(
                    Math.max(weightShare + timeAware.k() * (weightShare - usageShare), 0));
        }
    }
}
