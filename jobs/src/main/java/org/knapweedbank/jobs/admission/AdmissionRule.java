package org.knapweedbank.jobs.admission;

import java.time.Duration;
import java.util.List;

/** Decides whether a job can still end within its late limit. */
public final class AdmissionRule {
    /** Shortest time after which a refused job is asked to return. */
    static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);

    /** Longest time after which a refused job is asked to return. */
    static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(30);

    private static final String REASON = "overloaded, the job would end after its late limit";

    private AdmissionRule() {}

    /**
     * Decides about a job. It is refused only if it would end after its late limit at each of the
     * given loads.
     *
     * @param demand what the job needs
     * @param loads loads of its pool during the persistence time, the newest last; empty if they do
     *     not cover that time
     * @return the decision
     */
    public static AdmissionDecision decide(JobDemand<?> demand, List<PoolLoad> loads) {
        boolean overloaded =
                !loads.isEmpty() && loads.stream().allMatch(load -> isOverloaded(demand, load));
        return overloaded ? refuse(demand, loads.getLast()) : new AdmissionDecision.Admit();
    }

    /**
     * Returns whether the job would end after its limit. The work before it alone has to take
     * longer than its objective: a job that is late because of its own size gains nothing by
     * returning later, and the rate of a pool with little work is lower than its capacity.
     */
    private static boolean isOverloaded(JobDemand<?> demand, PoolLoad load) {
        return load.waiting()
                && load.rate().isPresent()
                && demand.objective().isPositive()
                && load.millisUntilDone(0) > demand.objective().toMillis()
                && expectedEndMillis(demand, load) > demand.limit().toMillis();
    }

    private static double expectedEndMillis(JobDemand<?> demand, PoolLoad load) {
        return Math.max(
                demand.criticalPath().toMillis(), load.millisUntilDone(demand.coreMillis()));
    }

    private static AdmissionDecision refuse(JobDemand<?> demand, PoolLoad load) {
        Duration expectedEnd = Duration.ofMillis((long) expectedEndMillis(demand, load));
        return new AdmissionDecision.Refuse(
                REASON,
                expectedEnd,
                demand.limit(),
                load.workBefore(),
                load.rate().orElseThrow(),
                clamp(expectedEnd.minus(demand.limit())));
    }

    private static Duration clamp(Duration retryAfter) {
        if (retryAfter.compareTo(MIN_RETRY_AFTER) < 0) {
            return MIN_RETRY_AFTER;
        }
        return retryAfter.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : retryAfter;
    }
}
