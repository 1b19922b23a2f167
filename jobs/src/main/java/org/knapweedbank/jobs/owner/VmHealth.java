package org.knapweedbank.jobs.owner;

import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.model.JobId;
import org.knapweedbank.time.Clock;

/**
 * Suspicion that the worker of a VM fails what it starts, or lets it stand still.
 *
 * <p>A suspicion is a guess, so it delays work but never closes the VM: a suspected VM takes one
 * task at a time as a trial, and while it is suspended, only tasks for which no other VM has room.
 * The suspicion ends with the first run that shows the worker to be sound. All times are monotonic,
 * in milliseconds.
 */
final class VmHealth {
    /** Number of distinct jobs whose tasks must have failed without a success in between. */
    private static final int MIN_FAILED_JOBS = 2;

    /** Age from which a failure says nothing about the present state of the worker. */
    private static final long FAILURE_WINDOW_MILLIS = 10_000;

    private static final long INITIAL_SUSPENSION_MILLIS = 2_000;
    private static final long MAX_SUSPENSION_MILLIS = 8_000;

    /**
     * Minimum time between two trials. It bounds the wait of a task whose only room is on a
     * suspected VM, and the number of runs that a faulty worker can fail.
     */
    private static final long TRIAL_INTERVAL_MILLIS = 1_000;

    /**
     * Time after a failure in which no task is tried whose failure would end its job. Longer than
     * the interval of trials, so that other tasks go first.
     */
    private static final long LAST_ATTEMPT_DELAY_MILLIS = 1_500;

    private final Clock mClock;

    /** Time of the last failure of each job in the window. */
    private final Map<JobId, Long> mFailedJobs = new HashMap<>();

    private boolean mSuspected;

    /** Time of the first evidence after which the VM has not been shown to be sound. */
    private long mSuspectedAt;

    /** Longest time for which a run has lasted that then failed. */
    private long mLongestFailedMillis;

    private long mLastFailureAt;
    private long mNextTrialAt;
    private long mSuspendedUntil = Long.MIN_VALUE;
    private long mNextSuspensionMillis = INITIAL_SUSPENSION_MILLIS;

    VmHealth(Clock clock) {
        mClock = clock;
    }

    /** Ends a suspicion and forgets all failures, after a restart of the worker. */
    void reset() {
        mFailedJobs.clear();
        mSuspected = false;
        mLongestFailedMillis = 0;
        mNextSuspensionMillis = INITIAL_SUSPENSION_MILLIS;
        mSuspendedUntil = Long.MIN_VALUE;
    }

    /**
     * Records that a task has failed on the VM.
     *
     * @param job the job of the task
     * @param runMillis time for which the run had lasted
     * @return true if the failure suspends the VM
     */
    boolean recordFailure(JobId job, long runMillis) {
        long now = mClock.monotonicMillis();
        forgetOldFailures(now);
        mFailedJobs.put(job, now);
        mLastFailureAt = now;
        mLongestFailedMillis = Math.max(mLongestFailedMillis, runMillis);
        return (mSuspected || mFailedJobs.size() >= MIN_FAILED_JOBS) && suspend();
    }

    private void forgetOldFailures(long now) {
        mFailedJobs.values().removeIf(failedAt -> now - failedAt > FAILURE_WINDOW_MILLIS);
        if (mFailedJobs.isEmpty() && !mSuspected) {
            mLongestFailedMillis = 0;
        }
    }

    /**
     * Suspends the VM without waiting for failures of a second job.
     *
     * @return true unless the VM was suspended already
     */
    boolean suspend() {
        if (suspended()) {
            return false;
        }
        long now = mClock.monotonicMillis();
        if (!mSuspected) {
            mSuspected = true;
            mSuspectedAt = now;
            mNextTrialAt = now;
        }
        mSuspendedUntil = now + mNextSuspensionMillis;
        mNextSuspensionMillis = Math.min(MAX_SUSPENSION_MILLIS, mNextSuspensionMillis * 2);
        return true;
    }

    /** Returns whether the VM has not been shown to be sound since it was suspended. */
    boolean suspected() {
        return mSuspected;
    }

    /** Returns whether other VMs go before this one. */
    boolean suspended() {
        return mSuspected && mClock.monotonicMillis() < mSuspendedUntil;
    }

    /** Returns whether the VM takes a task now, as a trial if the VM is suspected. */
    boolean accepts(Task task) {
        if (!mSuspected) {
            return true;
        }
        return mClock.monotonicMillis() >= mNextTrialAt && !spares(task);
    }

    /** Returns whether the VM takes no task now whose failure would end its job, as this one. */
    boolean spares(Task task) {
        return mSuspected
                && task.onLastAttempt()
                && mClock.monotonicMillis() - mLastFailureAt < LAST_ATTEMPT_DELAY_MILLIS;
    }

    /** Records the start of a run. */
    void recordStart() {
        mNextTrialAt = mClock.monotonicMillis() + TRIAL_INTERVAL_MILLIS;
    }

    /**
     * Records that a run has completed. A suspected VM is shown to be sound only by a run that was
     * started after the suspicion arose, as a faulty worker may still complete earlier ones.
     *
     * @param orderedAt time at which the run was ordered
     * @return true if this ends a suspicion
     */
    boolean recordSuccess(long orderedAt) {
        if (mSuspected && orderedAt < mSuspectedAt) {
            return false;
        }
        boolean suspected = mSuspected;
        reset();
        return suspected;
    }

    /**
     * Records that a run works. It shows the VM to be sound if it was started after the suspicion
     * arose, and has lasted for longer than the runs that have failed.
     *
     * @param orderedAt time at which the run was ordered
     * @return true if this ends a suspicion
     */
    boolean recordWork(long orderedAt) {
        long runMillis = mClock.monotonicMillis() - orderedAt;
        if (!mSuspected || orderedAt < mSuspectedAt || runMillis <= mLongestFailedMillis) {
            return false;
        }
        reset();
        return true;
    }
}
