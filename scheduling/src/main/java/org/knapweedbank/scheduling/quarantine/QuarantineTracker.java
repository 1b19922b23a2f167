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
 * Quarantines VMs on which tasks of several jobs fail. The failure score of a VM counts a failed
 * job fully if the job has succeeded on another VM, half if it is not known whether the job or the
 * VM is at fault, and not at all if the job has failed on several VMs without a success. Successes
 * on the VM lower the score. A quarantined VM is retested with one probe task after increasing
 * intervals.
 */
public final class QuarantineTracker {
    /** Period within which successes and failures are considered. */
    private static final long WINDOW_NANOS = Duration.ofMinutes(10).toNanos();

    /** Interval before the first retest; doubled by each retest that fails. */
    private static final long INITIAL_RETEST_INTERVAL_NANOS = Duration.ofMinutes(1).toNanos();

    private static final long MAX_RETEST_INTERVAL_NANOS = Duration.ofHours(1).toNanos();

    /**
     * Run time after which a probe task that is still running passes the retest. A VM on which
     * every task fails usually fails them immediately.
     */
    private static final long RETEST_PASS_NANOS = Duration.ofMinutes(5).toNanos();

    /** Failure score at which a VM is quarantined. */
    private static final double QUARANTINE_SCORE = 2;

    /** Score of a failure of a job for which no success is known. */
    private static final double UNKNOWN_JOB_FAILURE_WEIGHT = 0.5;

    /** Score that is subtracted for each job that succeeded on the VM. */
    private static final double SUCCESS_WEIGHT = 0.5;

    /**
     * Number of VMs on which a job must have failed without a success before the job itself is
     * considered faulty.
     */
    private static final int MIN_BROKEN_JOB_VMS = 3;

    /**
     * Maximum share of VMs that are quarantined or in retest. If more VMs fail, the cause is
     * probably not the VMs.
     */
    private static final double MAX_UNHEALTHY_SHARE = 0.2;

    /** Maximum number of jobs to remember; the least recently used job is dropped. */
    private static final int MAX_JOBS = 10_000;

    /** Maximum relative deviation of a retest interval, so that VMs are not retested together. */
    private static final double INTERVAL_JITTER = 0.1;

    /**
     * Times of the latest failure and success of each job on a VM, and the state of its quarantine.
     */
    private static final class VmRecord {
        private final Map<JobId, Long> mFailures = new HashMap<>();
        private final Map<JobId, Long> mSuccesses = new HashMap<>();
        private VmHealth mHealth = VmHealth.HEALTHY;
        private long mRetestIntervalNanos = INITIAL_RETEST_INTERVAL_NANOS;

        /** Time at which the retest starts, or at which the running probe task passes it. */
        private long mNextTransitionNanos;

        private boolean mProbePlaced;
    }

    /** Times of the latest failure and success of a job by VM. */
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
     * Creates a tracker without recorded results.
     *
     * @param clock source of time
     * @param random source of random numbers for the jitter of retest intervals
     */
    public QuarantineTracker(Clock clock, UniformRandomProvider random) {
        mClock = clock;
        mRandom = random;
    }

    /**
     * Records that an attempt of a job succeeded on a VM.
     *
     * @param job the job
     * @param vm the VM
     */
    public void recordSuccess(JobId job, VmId vm) {
        long now = mClock.monotonicNanos();
        recordTime(findOrCreateJob(job).mSuccesses, vm, now);
        VmRecord record = findOrCreateVm(vm);
        recordTime(record.mSuccesses, job, now);
        if (record.mHealth == VmHealth.RETEST) {
            markHealthy(vm, record);
        }
    }

    /**
     * Records that an attempt of a job failed on a VM.
     *
     * @param job the job
     * @param vm the VM
     * @param vmCount number of VMs in the partition, which bounds the number of quarantined VMs
     */
    public void recordFailure(JobId job, VmId vm, int vmCount) {
        long now = mClock.monotonicNanos();
        JobRecord jobRecord = findOrCreateJob(job);
        recordTime(jobRecord.mFailures, vm, now);
        VmRecord record = findOrCreateVm(vm);
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

    /** Ends quarantines that were caused by a job that fails on all VMs. */
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
     * Starts the retest of VMs whose quarantine interval has passed, and marks VMs healthy whose
     * probe task has run long enough.
     *
     * @return VMs whose health has changed
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
     * Records that a task was placed on a VM.
     *
     * @param vm the VM
     * @return true if the task is the probe task of a retest, after which the VM accepts no other
     *     task
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
     * Returns whether a VM accepts tasks.
     *
     * @param vm the VM
     * @return false if the VM is quarantined or its retest already has a probe task
     */
    public boolean takesTasks(VmId vm) {
        VmRecord record = mUnhealthyVms.get(vm);
        return record == null || record.mHealth == VmHealth.RETEST && !record.mProbePlaced;
    }

    /**
     * Returns the health of a VM.
     *
     * @param vm the VM
     * @return the health
     */
    public VmHealth health(VmId vm) {
        VmRecord record = mVms.get(vm);
        return record == null ? VmHealth.HEALTHY : record.mHealth;
    }

    /**
     * Returns the VMs that are quarantined or in retest.
     *
     * @return the VMs
     */
    public List<VmId> unhealthyVms() {
        return List.copyOf(mUnhealthyVms.keySet());
    }

    /**
     * Returns whether a job has recently failed on a VM, so that its tasks should be placed on
     * another one.
     *
     * @param job the job
     * @param vm the VM
     * @return true if it has failed there recently
     */
    public boolean recentlyFailedOn(JobId job, VmId vm) {
        VmRecord record = mVms.get(vm);
        Long time = record == null ? null : record.mFailures.get(job);
        return time != null && mClock.monotonicNanos() - time <= WINDOW_NANOS;
    }

    /**
     * Removes a VM that has left the partition.
     *
     * @param vm the VM
     */
    public void removeVm(VmId vm) {
        mVms.remove(vm);
        mUnhealthyVms.remove(vm);
    }

    private VmRecord findOrCreateVm(VmId vm) {
        return mVms.computeIfAbsent(vm, id -> new VmRecord());
    }

    private JobRecord findOrCreateJob(JobId job) {
        return mJobs.computeIfAbsent(job, id -> new JobRecord());
    }
}
