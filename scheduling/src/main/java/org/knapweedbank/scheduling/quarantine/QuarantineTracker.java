package org.knapweedbank.scheduling.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.knapweedbank.model.JobId;
import org.knapweedbank.model.VmId;
import org.knapweedbank.time.Clock;

/**
 * Evidence against workers. A failure counts in full if the job has succeeded on another worker,
 * half if nothing is known about the job, and not at all if the job has failed on several workers
 * without a success. A worker is quarantined on the evidence of different jobs and retested after
 * growing intervals.
 */
public final class QuarantineTracker {
    /** Time for which a success or failure counts. */
    private static final long WINDOW_NANOS = Duration.ofMinutes(10).toNanos();

    /** Interval before the first retest; doubled by each retest that fails. */
    private static final long INITIAL_RETEST_INTERVAL_NANOS = Duration.ofMinutes(1).toNanos();

    private static final long MAX_RETEST_INTERVAL_NANOS = Duration.ofHours(1).toNanos();

    /** A worker that fails everything does so at once; a task that runs this long clears it. */
    private static final long RETEST_PASS_NANOS = Duration.ofMinutes(5).toNanos();

    /** Evidence at which a worker is quarantined. */
    private static final double QUARANTINE_SCORE = 2;

    /** Evidence of a job of which no success is known. */
    private static final double UNKNOWN_JOB_FAILURE_WEIGHT = 0.5;

    /** Evidence that one job's success on the worker outweighs. */
    private static final double SUCCESS_WEIGHT = 0.5;

    /** Workers on which a job without success must fail to be blamed itself. */
    private static final int MIN_BROKEN_JOB_VMS = 3;

    /** Largest share of the workers in quarantine; a fault of all of them is not theirs. */
    private static final double MAX_UNHEALTHY_SHARE = 0.2;

    /** Bound on the jobs remembered; the one not seen for the longest time is forgotten. */
    private static final int MAX_JOBS = 10_000;

    private static final double INTERVAL_JITTER = 0.1;

    private static final class VmRecord {
        private final Map<JobId, Long> mFailures = new HashMap<>();
        private final Map<JobId, Long> mSuccesses = new HashMap<>();
        private VmHealth mHealth = VmHealth.HEALTHY;
        private long mRetestIntervalNanos = INITIAL_RETEST_INTERVAL_NANOS;
        private long mNextTransitionNanos;
        private boolean mProbePlaced;
    }

    /** Workers on which a job has failed and succeeded, with the time. */
    private static final class JobRecord {
        private final Map<VmId, Long> mFailures = new HashMap<>();
        private final Map<VmId, Long> mSuccesses = new HashMap<>();
    }

    private final Clock mClock;
    private final UniformRandomProvider mRandom;
    private final Map<VmId, VmRecord> mVms = new HashMap<>();
    private final Map<VmId, VmRecord> mUnhealthyVms = new LinkedHashMap<>();
    private final Map<JobId, JobRecord> mJobs =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<JobId, JobRecord> eldest) {
                    return size() > MAX_JOBS;
                }
            };

    /**
     * Creates a tracker without evidence.
     *
     * @param clock source of time
     * @param random source of random numbers, which spreads retests
     */
    public QuarantineTracker(Clock clock, UniformRandomProvider random) {
        mClock = clock;
        mRandom = random;
    }

    /**
     * Records that a task ended well.
     *
     * @param job its job
     * @param vm its worker
     */
    public void recordSuccess(JobId job, VmId vm) {
        long now = mClock.monotonicNanos();
        recordTime(job(job).mSuccesses, vm, now);
        VmRecord record = vm(vm);
        recordTime(record.mSuccesses, job, now);
        if (record.mHealth == VmHealth.RETEST) {
            markHealthy(vm, record);
        }
    }

    /**
     * Records that an attempt failed.
     *
     * @param job its job
     * @param vm its worker
     * @param vmCount number of workers, which bounds the quarantine
     */
    public void recordFailure(JobId job, VmId vm, int vmCount) {
        long now = mClock.monotonicNanos();
        JobRecord jobRecord = job(job);
        recordTime(jobRecord.mFailures, vm, now);
        VmRecord record = vm(vm);
        recordTime(record.mFailures, job, now);
        if (failsEverywhere(jobRecord, now)) {
            reevaluateQuarantines(job, now);
        } else if (record.mHealth == VmHealth.RETEST) {
            record.mRetestIntervalNanos =
                    Math.min(2 * record.mRetestIntervalNanos, MAX_RETEST_INTERVAL_NANOS);
            quarantine(vm, record, now);
        } else if (record.mHealth == VmHealth.HEALTHY
                && failureScore(vm, record, now) >= QUARANTINE_SCORE
                && mUnhealthyVms.size() < Math.max(1, vmCount * MAX_UNHEALTHY_SHARE)) {
            quarantine(vm, record, now);
        }
    }

    private static <K> void recordTime(Map<K, Long> times, K key, long now) {
        times.put(key, now);
        times.values().removeIf(time -> now - time > WINDOW_NANOS);
    }

    /** Ends quarantines that rested on a job which fails everywhere. */
    private void reevaluateQuarantines(JobId job, long now) {
        for (Map.Entry<VmId, VmRecord> entry : List.copyOf(mUnhealthyVms.entrySet())) {
            VmRecord record = entry.getValue();
            if (record.mFailures.containsKey(job)
                    && failureScore(entry.getKey(), record, now) < QUARANTINE_SCORE) {
                markHealthy(entry.getKey(), record);
            }
        }
    }

    private double failureScore(VmId vm, VmRecord record, long now) {
        double sum = 0;
        for (Map.Entry<JobId, Long> failure : record.mFailures.entrySet()) {
            if (now - failure.getValue() <= WINDOW_NANOS) {
                sum += failureWeight(failure.getKey(), vm, now);
            }
        }
        long successes =
                record.mSuccesses.values().stream()
                        .filter(time -> now - time <= WINDOW_NANOS)
                        .count();
        return sum - SUCCESS_WEIGHT * successes;
    }

    private double failureWeight(JobId job, VmId vm, long now) {
        JobRecord record = mJobs.get(job);
        if (record == null) {
            return UNKNOWN_JOB_FAILURE_WEIGHT;
        }
        boolean succeedsElsewhere =
                record.mSuccesses.entrySet().stream()
                        .anyMatch(
                                entry ->
                                        !entry.getKey().equals(vm)
                                                && now - entry.getValue() <= WINDOW_NANOS);
        if (succeedsElsewhere) {
            return 1;
        }
        return failsEverywhere(record, now) ? 0 : UNKNOWN_JOB_FAILURE_WEIGHT;
    }

    private static boolean failsEverywhere(JobRecord record, long now) {
        return record.mSuccesses.values().stream().noneMatch(time -> now - time <= WINDOW_NANOS)
                && record.mFailures.size() >= MIN_BROKEN_JOB_VMS;
    }

    private void quarantine(VmId vm, VmRecord record, long now) {
        double jitter = 1 + INTERVAL_JITTER * (2 * mRandom.nextDouble() - 1);
        record.mHealth = VmHealth.QUARANTINED;
        record.mNextTransitionNanos = now + (long) (record.mRetestIntervalNanos * jitter);
        record.mProbePlaced = false;
        mUnhealthyVms.put(vm, record);
    }

    private void markHealthy(VmId vm, VmRecord record) {
        record.mHealth = VmHealth.HEALTHY;
        record.mFailures.clear();
        record.mRetestIntervalNanos = INITIAL_RETEST_INTERVAL_NANOS;
        mUnhealthyVms.remove(vm);
    }

    /**
     * Moves workers whose interval has passed to the retest, and clears those whose test task has
     * run long enough.
     *
     * @return workers whose verdict has changed
     */
    public List<VmId> applyDueTransitions() {
        long now = mClock.monotonicNanos();
        List<VmId> changed = new ArrayList<>();
        for (Map.Entry<VmId, VmRecord> entry : List.copyOf(mUnhealthyVms.entrySet())) {
            VmRecord record = entry.getValue();
            if (record.mHealth == VmHealth.QUARANTINED && now >= record.mNextTransitionNanos) {
                record.mHealth = VmHealth.RETEST;
                record.mProbePlaced = false;
                changed.add(entry.getKey());
            } else if (record.mProbePlaced && now >= record.mNextTransitionNanos) {
                markHealthy(entry.getKey(), record);
                changed.add(entry.getKey());
            }
        }
        return changed;
    }

    /**
     * Records that a task was placed on a worker.
     *
     * @param vm the worker
     * @return true if it is the test task, after which the worker takes no other
     */
    public boolean recordPlacement(VmId vm) {
        VmRecord record = mUnhealthyVms.get(vm);
        if (record == null || record.mHealth != VmHealth.RETEST) {
            return false;
        }
        record.mProbePlaced = true;
        record.mNextTransitionNanos = mClock.monotonicNanos() + RETEST_PASS_NANOS;
        return true;
    }

    /**
     * Tells whether a worker may take a task.
     *
     * @param vm the worker
     * @return false in quarantine, and in a retest that already has its task
     */
    public boolean takesTasks(VmId vm) {
        VmRecord record = mUnhealthyVms.get(vm);
        return record == null || record.mHealth == VmHealth.RETEST && !record.mProbePlaced;
    }

    /**
     * Judgement about a worker.
     *
     * @param vm the worker
     * @return the verdict
     */
    public VmHealth health(VmId vm) {
        VmRecord record = mVms.get(vm);
        return record == null ? VmHealth.HEALTHY : record.mHealth;
    }

    /**
     * Workers in quarantine or retest.
     *
     * @return the workers
     */
    public List<VmId> unhealthyVms() {
        return List.copyOf(mUnhealthyVms.keySet());
    }

    /**
     * Tells whether a job has failed on a worker a short time ago, so that it should try another.
     *
     * @param job the job
     * @param vm the worker
     * @return true if it has failed there
     */
    public boolean recentlyFailedOn(JobId job, VmId vm) {
        VmRecord record = mVms.get(vm);
        Long time = record == null ? null : record.mFailures.get(job);
        return time != null && mClock.monotonicNanos() - time <= WINDOW_NANOS;
    }

    /**
     * Forgets a worker that has left.
     *
     * @param vm the worker
     */
    public void removeVm(VmId vm) {
        mVms.remove(vm);
        mUnhealthyVms.remove(vm);
    }

    private VmRecord vm(VmId vm) {
        return mVms.computeIfAbsent(vm, id -> new VmRecord());
    }

    private JobRecord job(JobId job) {
        return mJobs.computeIfAbsent(job, id -> new JobRecord());
    }
}
