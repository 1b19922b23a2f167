package org.knapweedbank.jobs.admission;

import com.github.benmanes.caffeine.cache.Ticker;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Admission of jobs during one ownership term. Keeps the recent samples of each pool and the
 * refused jobs that may be submitted again.
 *
 * @param <U> type of the urgency
 */
public final class AdmissionController<U extends Urgency<U>> {
    private final AdmissionSettings mSettings;
    private final long mStartedAt;
    private final Map<WorkPool, PoolHistory<U>> mPools = new HashMap<>();
    private final RefusedJobs<U> mRefusedJobs;

    /**
     * Creates the controller for a new term.
     *
     * @param settings time limits
     * @param startedAt monotonic time in milliseconds at which the term began
     * @param ticker monotonic time in nanoseconds
     */
    public AdmissionController(AdmissionSettings settings, long startedAt, Ticker ticker) {
        mSettings = settings;
        mStartedAt = startedAt;
        mRefusedJobs = new RefusedJobs<>(ticker);
    }

    /**
     * Records the state of all pools; a pool that is missing has no work. Pools without recent work
     * are forgotten, as their service may no longer be configured.
     *
     * @param now monotonic time in milliseconds
     * @param samples states of the pools
     */
    public void sample(long now, Map<WorkPool, PoolSample<U>> samples) {
        Set<WorkPool> pools = new HashSet<>(mPools.keySet());
        pools.addAll(samples.keySet());
        PoolSample<U> idle = new PoolSample<>(false, 0, List.of());
        pools.forEach(pool -> history(pool).add(now, samples.getOrDefault(pool, idle)));
        mPools.values().removeIf(history -> history.isIdle(now));
    }

    /** Returns the number of pools with recent work. */
    int countPools() {
        return mPools.size();
    }

    /** Handles a pause, during which no work was measured and nothing is known of the load. */
    public void interrupt() {
        mPools.values().forEach(PoolHistory::interrupt);
    }

    /**
     * Decides about a submitted job that the owner does not know. An admitted job counts at once as
     * work before later ones.
     *
     * @param demand what the job needs
     * @param now monotonic time in milliseconds
     * @param idleRoom tells how much of the job could start now on room that no waiting task can
     *     use. A job that could start does not wait for the work before it, so it is not refused.
     * @return the decision
     */
    public AdmissionDecision decide(JobDemand<U> demand, long now, Supplier<IdleRoomFit> idleRoom) {
        Optional<RefusedJob<U>> earlier = mRefusedJobs.find(demand.id());
        if (earlier.isPresent() && isRecentlyRefused(earlier.get(), now)) {
            return earlier.get().refusal();
        }
        AdmissionDecision decision =
                switch (judge(demand, earlier, now)) {
                    case AdmissionDecision.Admit admit -> admit;
                    case AdmissionDecision.Refuse refuse -> admitOnIdleRoom(idleRoom.get(), refuse);
                };
        switch (decision) {
            case AdmissionDecision.Admit admit -> {
                mRefusedJobs.remove(demand.id());
                if (admit.queued()) {
                    history(demand.pool()).addAdmitted(now, demand);
                }
            }
            case AdmissionDecision.Refuse refuse -> record(demand, earlier, now, refuse);
        }
        return decision;
    }

    /**
     * Returns whether a job was refused so recently that its caller cannot have waited for the
     * retry time. The submission is then a copy of the refused one, such as one through another
     * entry, and gets the same answer, so that no copy of a job runs while the refusal of another
     * one is on its way.
     */
    private static boolean isRecentlyRefused(RefusedJob<?> job, long now) {
        return now - job.refusedAt() < AdmissionRule.MIN_RETRY_AFTER.toMillis();
    }

    private static AdmissionDecision admitOnIdleRoom(
            IdleRoomFit fit, AdmissionDecision.Refuse refuse) {
        return switch (fit) {
            case NONE -> refuse;
            case SOME_TASKS -> new AdmissionDecision.Admit();
            case ALL_TASKS -> new AdmissionDecision.Admit(false);
        };
    }

    private AdmissionDecision judge(
            JobDemand<U> demand, Optional<RefusedJob<U>> earlier, long now) {
        PoolHistory<U> history = history(demand.pool());
        List<PoolLoad> loads = history.loads(now, demand.urgency());
        if (now - mStartedAt < mSettings.warmUp().toMillis() || loads.isEmpty()) {
            return new AdmissionDecision.Admit();
        }
        long firstRefusedAt = earlier.map(RefusedJob::firstRefusedAt).orElse(Long.MAX_VALUE);
        double notQueued =
                mRefusedJobs.workBefore(demand, firstRefusedAt)
                        + history.expectedBefore(now, demand.urgency(), demand.limit().toMillis());
        return AdmissionRule.decide(
                demand, loads.stream().map(load -> load.plus(notQueued)).toList());
    }

    /** Records a refusal. A job that was refused before keeps its place in the order. */
    private void record(
            JobDemand<U> demand,
            Optional<RefusedJob<U>> earlier,
            long now,
            AdmissionDecision.Refuse refusal) {
        mRefusedJobs.put(
                new RefusedJob<>(
                        earlier.map(RefusedJob::demand).orElse(demand),
                        earlier.map(RefusedJob::firstRefusedAt).orElse(now),
                        now,
                        refusal));
    }

    private PoolHistory<U> history(WorkPool pool) {
        return mPools.computeIfAbsent(
                pool, key -> new PoolHistory<>(mSettings.persistence().toMillis()));
    }
}
