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
 * Pending tasks of all teams in the order of the quotas: urgent tasks, then teams within their
 * deserved share, then teams by priority, then by usage over quota for each unit of weight.
 *
 * <p>A shape for which no VM has room is blocked until a VM on which it fits gains capacity, so a
 * task that waits costs nothing and holds up nobody.
 */
public final class PendingQueues {
    /** Interval in which the weights of the time-aware division are computed. */
    private static final long WEIGHT_INTERVAL_NANOS = 1_000_000_000L;

    private record Entry(PendingTask task, ShapeQueue shape) {}

    private final Clock mClock;
    private final ShareMode mMode;
    private final Map<String, TeamQueue> mTeams = new TreeMap<>();
    private final Map<TaskId, Entry> mByTask = new HashMap<>();
    private final Map<JobId, Integer> mPendingByJob = new HashMap<>();
    private final TreeSet<TeamQueue> mRanked = new TreeSet<>(TeamQueue.ORDER);
    private final Map<Resources, Integer> mBlockedNeeds = new HashMap<>();
    private final Set<ShapeQueue> mBlockedUrgent = new LinkedHashSet<>();
    private Resources mTotal = Resources.NONE;
    private long mWeightsNanos;

    /**
     * Creates empty queues.
     *
     * @param clock source of time
     * @param mode division of capacity over quota
     */
    public PendingQueues(Clock clock, ShareMode mode) {
        mClock = clock;
        mMode = mode;
        mWeightsNanos = clock.monotonicNanos();
    }

    /**
     * Sets the quotas; teams without one deserve nothing and have weight 1.
     *
     * @param quotas quota by team
     */
    public void setQuotas(Map<String, TeamQuota> quotas) {
        quotas.keySet().forEach(this::team);
        mTeams.values().forEach(team -> team.setQuota(quotas.get(team.name())));
        computeWeights();
        rankAll();
    }

    /**
     * Sets the capacity of the partition, against which shares are measured.
     *
     * @param total the capacity
     */
    public void setTotal(Resources total) {
        if (!total.equals(mTotal)) {
            decayAll();
            mTotal = total;
            rankAll();
        }
    }

    /**
     * Account of a team.
     *
     * @param name the team
     * @return the account, created if needed
     */
    public TeamQueue team(String name) {
        TeamQueue known = mTeams.get(name);
        if (known != null) {
            return known;
        }
        TeamQueue team = new TeamQueue(name, mClock.monotonicNanos());
        mTeams.put(name, team);
        computeWeights();
        rankAll();
        return team;
    }

    /**
     * Adds a task, in place of an earlier one with the same identifier.
     *
     * @param task the task
     */
    public void add(PendingTask task) {
        remove(task.id());
        TeamQueue team = team(task.team());
        ShapeQueue shape =
                team.shapes().computeIfAbsent(Shape.of(task), key -> new ShapeQueue(team, key));
        change(shape, () -> shape.tasks().add(task));
        mByTask.put(task.id(), new Entry(task, shape));
        mPendingByJob.merge(task.id().job(), 1, Integer::sum);
    }

    /**
     * Removes a task.
     *
     * @param id the task
     * @return the task, or null if it is not pending
     */
    public PendingTask remove(TaskId id) {
        Entry entry = mByTask.remove(id);
        if (entry == null) {
            return null;
        }
        change(entry.shape(), () -> entry.shape().tasks().remove(entry.task()));
        mPendingByJob.merge(
                id.job(), -1, (count, one) -> count == 1 ? null : Integer.valueOf(count - 1));
        return entry.task();
    }

    /**
     * Next shape to serve; its head is the task.
     *
     * @return the shape, or null if none is pending that is not blocked
     */
    public ShapeQueue next() {
        refreshWeights();
        return mRanked.isEmpty() ? null : mRanked.first().ready().first();
    }

    /**
     * Blocks a shape until capacity for it appears.
     *
     * @param shape the shape
     * @param need resources for which no VM has room
     */
    public void block(ShapeQueue shape, Resources need) {
        TeamQueue team = shape.team();
        unrank(team);
        team.ready().remove(shape);
        shape.setBlockedNeed(need);
        team.addBlocked(shape);
        countBlocked(shape, 1);
        rank(team);
    }

    private void unblock(ShapeQueue shape) {
        TeamQueue team = shape.team();
        unrank(team);
        team.removeBlocked(shape);
        countBlocked(shape, -1);
        shape.setBlockedNeed(null);
        team.ready().add(shape);
        rank(team);
    }

    private void countBlocked(ShapeQueue shape, int change) {
        if (!shape.urgent()) {
            mBlockedNeeds.merge(
                    shape.blockedNeed(),
                    change,
                    (count, one) -> count + one == 0 ? null : Integer.valueOf(count + one));
        } else if (change > 0) {
            mBlockedUrgent.add(shape);
        } else {
            mBlockedUrgent.remove(shape);
        }
    }

    /**
     * Unblocks the shapes for which a condition holds.
     *
     * @param condition takes the first task of the shape and the resources it was blocked for
     */
    public void unblockIf(BiPredicate<PendingTask, Resources> condition) {
        for (TeamQueue team : mTeams.values()) {
            List<ShapeQueue> changed =
                    team.blocked().stream()
                            .filter(shape -> condition.test(shape.head(), shape.blockedNeed()))
                            .toList();
            changed.forEach(this::unblock);
        }
    }

    /**
     * Unblocks urgent shapes, since a new victim may have appeared.
     *
     * @param limit largest number of shapes; those that wait longest go first
     */
    public void unblockUrgent(int limit) {
        mBlockedUrgent.stream().limit(limit).toList().forEach(this::unblock);
    }

    /**
     * Unblocks shapes that fit into the capacity that VMs have gained, in the order of the quotas
     * and not more than fit together. Unblocking all that fit one by one was measured to cost
     * seconds for each decision with 38,000 shapes waiting.
     *
     * @param rooms available capacity of each VM; those for which nothing fits are removed
     * @return true if a shape was unblocked
     */
    public boolean unblockFor(Iterator<Resources> rooms) {
        List<TeamQueue> order = null;
        boolean unblocked = false;
        while (rooms.hasNext()) {
            Resources room = rooms.next();
            List<Resources> needs = blockedNeeds(mBlockedNeeds.keySet(), room);
            if (needs.isEmpty()) {
                rooms.remove();
                continue;
            }
            order = order == null ? blockedTeams() : order;
            unblocked |= unblockInto(room, needs, order);
        }
        return unblocked;
    }

    private boolean unblockInto(Resources room, List<Resources> fitting, List<TeamQueue> order) {
        Resources left = room;
        List<Resources> needs = fitting;
        boolean unblocked = false;
        for (TeamQueue team : order) {
            ShapeQueue shape = team.firstBlocked(needs);
            if (shape != null) {
                left = left.minus(shape.blockedNeed());
                unblock(shape);
                unblocked = true;
                needs = blockedNeeds(needs, left);
                if (needs.isEmpty()) {
                    break;
                }
            }
        }
        return unblocked;
    }

    private static List<Resources> blockedNeeds(Collection<Resources> needs, Resources room) {
        List<Resources> fitting = new ArrayList<>();
        for (Resources need : needs) {
            if (need.fitsIn(room)) {
                fitting.add(need);
            }
        }
        return fitting;
    }

    private List<TeamQueue> blockedTeams() {
        return mTeams.values().stream()
                .filter(team -> !team.blocked().isEmpty())
                .map(team -> team.rankOf(team.blocked().first().head(), mTotal))
                .sorted()
                .map(rank -> mTeams.get(rank.team()))
                .toList();
    }

    /**
     * Records that the usage of a team has changed.
     *
     * @param name the team
     * @param taken resources taken; negative components are given back
     */
    public void use(String name, Resources taken) {
        TeamQueue team = team(name);
        unrank(team);
        if (mMode instanceof ShareMode.TimeAware aware) {
            team.decay(mClock.monotonicNanos(), aware.halfLife().toNanos(), mTotal);
        }
        team.setUsed(team.used().plus(taken));
        rank(team);
    }

    /**
     * Number of pending tasks of a job.
     *
     * @param job the job
     * @return the number
     */
    public int pendingOf(JobId job) {
        return mPendingByJob.getOrDefault(job, 0);
    }

    /**
     * First pending task of a job in queue order of its shape.
     *
     * @param job the job
     * @return the task, or null
     */
    public PendingTask firstOf(JobId job) {
        return mByTask.values().stream()
                .map(Entry::task)
                .filter(task -> task.id().job().equals(job))
                .min(ShapeQueue.ORDER)
                .orElse(null);
    }

    /**
     * Tells whether the shape of a pending task is known to find no room.
     *
     * @param id the task
     * @return true if blocked
     */
    public boolean blocked(TaskId id) {
        Entry entry = mByTask.get(id);
        return entry != null && entry.shape().blocked();
    }

    /**
     * Number of pending tasks.
     *
     * @return the number
     */
    public int size() {
        return mByTask.size();
    }

    /**
     * All teams known.
     *
     * @return the accounts by name
     */
    public Collection<TeamQueue> teams() {
        return mTeams.values();
    }

    private void change(ShapeQueue shape, Runnable change) {
        TeamQueue team = shape.team();
        unrank(team);
        boolean blocked = shape.blocked();
        if (!shape.tasks().isEmpty()) {
            if (blocked) {
                team.removeBlocked(shape);
            } else {
                team.ready().remove(shape);
            }
        }
        change.run();
        if (shape.tasks().isEmpty()) {
            team.shapes().remove(shape.shape());
            if (blocked) {
                countBlocked(shape, -1);
            }
        } else if (blocked) {
            team.addBlocked(shape);
        } else {
            team.ready().add(shape);
        }
        rank(team);
    }

    private void unrank(TeamQueue team) {
        if (!team.ready().isEmpty()) {
            mRanked.remove(team);
        }
    }

    private void rank(TeamQueue team) {
        if (!team.ready().isEmpty()) {
            team.updateRank(mTotal);
            mRanked.add(team);
        }
    }

    private void rankAll() {
        mRanked.clear();
        mTeams.values().forEach(this::rank);
    }

    private void refreshWeights() {
        if (mMode instanceof ShareMode.TimeAware
                && mClock.monotonicNanos() - mWeightsNanos >= WEIGHT_INTERVAL_NANOS) {
            decayAll();
            computeWeights();
            rankAll();
        }
    }

    private void decayAll() {
        if (mMode instanceof ShareMode.TimeAware aware) {
            long now = mClock.monotonicNanos();
            mTeams.values().forEach(team -> team.decay(now, aware.halfLife().toNanos(), mTotal));
        }
    }

    private void computeWeights() {
        mWeightsNanos = mClock.monotonicNanos();
        if (!(mMode instanceof ShareMode.TimeAware aware)) {
            return;
        }
        List<TeamQueue> active =
                mTeams.values().stream()
                        .filter(team -> !team.shapes().isEmpty() || team.decayedUsage() > 0)
                        .toList();
        double weights =
                (active.isEmpty() ? mTeams.values() : active)
                        .stream().mapToDouble(team -> team.quota().weight()).sum();
        double usage = active.stream().mapToDouble(TeamQueue::decayedUsage).sum();
        // Teams without work get a weight on the same scale, since they may submit at any moment.
        for (TeamQueue team : mTeams.values()) {
            double weight = team.quota().weight() / Math.max(Double.MIN_NORMAL, weights);
            double used = usage <= 0 ? weight : team.decayedUsage() / usage;
            team.setEffectiveWeight(Math.max(weight + aware.k() * (weight - used), 0));
        }
    }
}
