package org.knapweedbank.jobs.admission;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import com.github.benmanes.caffeine.cache.Expiry;
import com.github.benmanes.caffeine.cache.Ticker;
import java.util.Optional;
import org.knapweedbank.model.JobId;

/**
 * Bounded record of the refused jobs, each until its retry time has passed twice.
 *
 * @param <U> type of the urgency
 */
final class RefusedJobs<U extends Urgency<U>> {
    /**
     * Maximum number of recorded jobs. All are examined for each new job; a caller whose job is
     * left out is only treated as a new one.
     */
    static final int MAX_JOBS = 1_000;

    /**
     * Time for which a refused job is recorded, as a multiple of its retry time. Callers return
     * only some time after it has passed.
     */
    private static final int RETENTION_FACTOR = 2;

    private final Cache<JobId, RefusedJob<U>> mJobs;

    RefusedJobs(Ticker ticker) {
        mJobs =
                Caffeine.newBuilder()
                        .maximumSize(MAX_JOBS)
                        .ticker(ticker)
                        .executor(Runnable::run)
                        .expireAfter(
                                Expiry.writing(
                                        (JobId id, RefusedJob<U> job) ->
                                                job.refusal()
                                                        .retryAfter()
                                                        .multipliedBy(RETENTION_FACTOR)))
                        .build();
    }

    Optional<RefusedJob<U>> find(JobId id) {
        return Optional.ofNullable(mJobs.getIfPresent(id));
    }

    void put(RefusedJob<U> job) {
        mJobs.put(job.demand().id(), job);
    }

    void remove(JobId id) {
        mJobs.invalidate(id);
    }

    /** Returns the number of recorded jobs. */
    long count() {
        return mJobs.asMap().values().stream().count();
    }

    /**
     * Returns the work of recorded jobs that goes before a job if they come back.
     *
     * @param demand the job
     * @param firstRefusedAt monotonic time in milliseconds at which the job itself was first
     *     refused; {@code Long.MAX_VALUE} for a new job. Jobs that were refused later do not count.
     * @return the work in core-milliseconds
     */
    double workBefore(JobDemand<U> demand, long firstRefusedAt) {
        return mJobs.asMap().values().stream()
                .filter(job -> job.firstRefusedAt() < firstRefusedAt)
                .map(RefusedJob::demand)
                .filter(other -> other.pool().equals(demand.pool()))
                .filter(other -> !other.id().equals(demand.id()))
                .filter(other -> other.urgency().compareTo(demand.urgency()) <= 0)
                .mapToDouble(JobDemand::coreMillis)
                .sum();
    }
}
