package org.knapweedbank.jobs.owner;

import java.util.HashSet;
import java.util.Set;
import org.knapweedbank.model.JobId;

/**
 * Tracks the failures on a VM and suspends it when several jobs have failed there with no success
 * in between, so that one faulty job does not suspend a VM. A suspended VM is used again after a
 * time that doubles with each suspension up to a limit.
 */
final class VmHealth {
    /** Number of distinct jobs whose tasks must have failed without a success in between. */
    private static final int MIN_FAILED_JOBS = 2;

    private static final long INITIAL_SUSPENSION_MILLIS = 2_000;
    private static final long MAX_SUSPENSION_MILLIS = 8_000;

    private final Set<JobId> mFailedJobs = new HashSet<>();
    private long mNextSuspensionMillis = INITIAL_SUSPENSION_MILLIS;
    private long mSuspendedUntil = Long.MIN_VALUE;

    /** Clears the failures and ends a suspension, after a success or a restart of the worker. */
    void reset() {
        mFailedJobs.clear();
        mNextSuspensionMillis = INITIAL_SUSPENSION_MILLIS;
        mSuspendedUntil = Long.MIN_VALUE;
    }

    /**
     * Records that a task has failed on the VM.
     *
     * @param job the job of the task
     * @param now monotonic time in milliseconds
     * @return true if the failure suspends the VM
     */
    boolean recordFailure(JobId job, long now) {
        mFailedJobs.add(job);
        return mFailedJobs.size() >= MIN_FAILED_JOBS && suspend(now);
    }

    /**
     * Suspends the VM without waiting for failures of a second job.
     *
     * @param now monotonic time in milliseconds
     * @return true unless the VM was suspended already
     */
    boolean suspend(long now) {
        if (suspended(now)) {
            return false;
        }
        mSuspendedUntil = now + mNextSuspensionMillis;
        mNextSuspensionMillis = Math.min(MAX_SUSPENSION_MILLIS, mNextSuspensionMillis * 2);
        mFailedJobs.clear();
        return true;
    }

    boolean suspended(long now) {
        return now < mSuspendedUntil;
    }
}
