package org.knapweedbank.jobs.owner;

import java.util.HashMap;
import java.util.Map;
import org.knapweedbank.model.JobId;
import org.knapweedbank.time.Clock;

/**
 * Suspicion that the worker of a VM fails what it starts, or lets it stand still. A suspicion is a
 * guess, so it delays work but never closes the VM:
 *
 * <ul>
 *   <li>A suspected VM takes few tasks at first, and more as long as none fails ({@link
 *       TrialLimiter}).
 *   <li>While it is also suspended, for a time that doubles with each suspension, other VMs with
 *       room go before it.
 *   <li>For a short time after a failure it takes no task whose failure would end its job.
 *   <li>Runs that were started later and work end the suspicion: one at first, and twice as many
 *       each time that the VM is suspected again soon after.
 * </ul>
 *
 * <p>All times are monotonic, in milliseconds.
 */
final class VmHealth {
    /** Number of distinct jobs whose tasks must have failed without a success in between. */
    private static final int MIN_FAILED_JOBS = 2;

    /** Age from which a failure says nothing about the present state of the worker. */
    private static final long FAILURE_WINDOW_MILLIS = 10_000;

    private static final long INITIAL_SUSPENSION_MILLIS = 2_000;
    private static final long MAX_SUSPENSION_MILLIS = 8_000;

    /**
     * Interval of the trials. It bounds the number of runs that a faulty worker can fail, beside
     * those of overdue tasks, each of which it can fail once in {@link Task#OVERDUE_MILLIS}.
     */
    private static final long TRIAL_INTERVAL_MILLIS = 1_000;

    /**
     * Time after a failure in which no task is tried whose failure would end its job. Longer than
     * the interval of trials, so that other tasks go first.
     */
    private static final long LAST_ATTEMPT_DELAY_MILLIS = 1_500;

    /**
     * Time for which a run has to work at most to count for the worker. Faulty workers mostly fail
     * runs soon after the start.
     */
    private static final long MAX_PROOF_MILLIS = 1_000;

    /** Maximum number of working runs that end a suspicion. */
    private static final int MAX_PROOFS = 8;

    private final Clock mClock;

    /** Trials of batch tasks. */
    private final TrialLimiter mBatchTrials = new TrialLimiter(TRIAL_INTERVAL_MILLIS);

    /** Trials of long-running tasks, which faulty batch jobs must not use up. */
    private final TrialLimiter mLongRunningTrials = new TrialLimiter(TRIAL_INTERVAL_MILLIS);

    /** Time of the last failure of each job in the window. */
    private final Map<JobId, Long> mFailedJobs = new HashMap<>();

    private boolean mSuspected;

    /** Time at which the suspicion arose. */
    private long mSuspectedAt;

    /** Time for which a run has to work to count for the worker. */
    private long mProofMillis;

    /** Number of runs that have worked since the suspicion arose. */
    private int mProofs;

    /** Number of working runs that end the suspicion. */
    private int mNeededProofs = 1;

    private long mLastFailureAt = Long.MIN_VALUE / 2;
    private long mSuspendedUntil = Long.MIN_VALUE;
    private long mNextSuspensionMillis = INITIAL_SUSPENSION_MILLIS;

    VmHealth(Clock clock) {
        mClock = clock;
    }

    /** Forgets everything, after a restart of the worker. */
    void reset() {
        trust();
        mNeededProofs = 1;
        mNextSuspensionMillis = INITIAL_SUSPENSION_MILLIS;
    }

    private void trust() {
        mFailedJobs.clear();
        mSuspected = false;
        mProofMillis = 0;
        mSuspendedUntil = Long.MIN_VALUE;
    }

    /**
     * Records that a task has failed on the VM.
     *
     * @param job the job of the task
     * @param runMillis time for which the run had lasted
     * @param jobSuspected whether the job itself is likely to be the cause; then the failure raises
     *     no suspicion, but still counts against a suspected VM
     * @return true if the failure suspends the VM
     */
    boolean recordFailure(JobId job, long runMillis, boolean jobSuspected) {
        long now = mClock.monotonicMillis();
        forgetOldFailures(now);
        mLastFailureAt = now;
        mProofMillis = Math.max(mProofMillis, Math.min(runMillis, MAX_PROOF_MILLIS));
        if (!jobSuspected) {
            mFailedJobs.put(job, now);
        }
        return (mSuspected || mFailedJobs.size() >= MIN_FAILED_JOBS) && suspend();
    }

    private void forgetOldFailures(long now) {
        mFailedJobs.values().removeIf(failedAt -> now - failedAt > FAILURE_WINDOW_MILLIS);
        if (!mSuspected && now - mLastFailureAt > FAILURE_WINDOW_MILLIS) {
            reset();
        }
    }

    /**
     * Suspends the VM without waiting for failures of a second job.
     *
     * @return true unless the VM was suspended already
     */
    boolean suspend() {
        mBatchTrials.restart();
        mLongRunningTrials.restart();
        if (suspended()) {
            return false;
        }
        long now = mClock.monotonicMillis();
        if (!mSuspected) {
            mSuspected = true;
            mSuspectedAt = now;
            mProofs = 0;
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

    /**
     * Returns whether the VM takes a task now, as a trial if the VM is suspected. An overdue task
     * does not wait for a trial.
     */
    boolean accepts(Task task) {
        long now = mClock.monotonicMillis();
        return !mSuspected
                || task.overdue(now)
                || trials(task).allows(now) && !refusesLastAttempt(task);
    }

    /** Returns whether a task is not tried now because its failure would end its job. */
    boolean refusesLastAttempt(Task task) {
        return mSuspected
                && task.onLastAttempt()
                && mClock.monotonicMillis() - mLastFailureAt < LAST_ATTEMPT_DELAY_MILLIS;
    }

    private TrialLimiter trials(Task task) {
        return task.mStep.mSpec.traits().longRunning() ? mLongRunningTrials : mBatchTrials;
    }

    /** Records the start of a run of a task. */
    void recordStart(Task task) {
        if (mSuspected) {
            trials(task).recordStart(mClock.monotonicMillis());
        }
    }

    /**
     * Records that a run works or has completed. It counts for the worker once, if it was started
     * after the suspicion arose, since a faulty worker may still complete earlier ones.
     *
     * @param run the run
     * @param completed whether it has completed
     * @return true if this ends a suspicion
     */
    boolean recordWork(Run run, boolean completed) {
        if (!mSuspected) {
            if (completed) {
                mFailedJobs.clear();
            }
            return false;
        }
        long runMillis = mClock.monotonicMillis() - run.mOrderedAt;
        boolean proves = completed || runMillis > mProofMillis;
        if (run.mCountedAsWorking || run.mOrderedAt < mSuspectedAt || !proves) {
            return false;
        }
        run.mCountedAsWorking = true;
        mProofs++;
        if (mProofs < mNeededProofs) {
            return false;
        }
        mNeededProofs = Math.min(MAX_PROOFS, 2 * mNeededProofs);
        trust();
        return true;
    }
}
