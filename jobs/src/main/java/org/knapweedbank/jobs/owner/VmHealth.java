package org.knapweedbank.jobs.owner;

import java.util.HashSet;
import java.util.Set;
import org.knapweedbank.model.JobId;

/**
 * Evidence on a VM that fails what it starts. A VM is suspended after failures of several jobs with
 * no success between them, so that one bad job does not condemn it, and is tried again after a
 * pause that doubles up to a limit.
 */
final class VmHealth {
    /** Distinct jobs whose tasks must have failed in a row. */
    private static final int FAILED_JOBS = 2;

    private static final long FIRST_SUSPENSION_MILLIS = 2_000;
    private static final long LONGEST_SUSPENSION_MILLIS = 8_000;

    private final Set<JobId> mFailedJobs = new HashSet<>();
    private long mSuspension = FIRST_SUSPENSION_MILLIS;
    private long mSuspendedUntil = Long.MIN_VALUE;

    void succeeded() {
        mFailedJobs.clear();
        mSuspension = FIRST_SUSPENSION_MILLIS;
        mSuspendedUntil = Long.MIN_VALUE;
    }

    /**
     * Counts a failure.
     *
     * @return true if the VM is suspended by it
     */
    boolean failed(JobId job, long now) {
        mFailedJobs.add(job);
        return mFailedJobs.size() >= FAILED_JOBS && suspend(now);
    }

    /** Suspends the VM at once, for evidence that needs no second job. */
    boolean suspend(long now) {
        if (suspended(now)) {
            return false;
        }
        mSuspendedUntil = now + mSuspension;
        mSuspension = Math.min(LONGEST_SUSPENSION_MILLIS, mSuspension * 2);
        mFailedJobs.clear();
        return true;
    }

    boolean suspended(long now) {
        return now < mSuspendedUntil;
    }
}
