package org.knapweedbank.jobs.owner;

import java.util.HashSet;
import java.util.Set;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.model.DaemonId;

/** State of one task of a step. */
final class Task {
    /**
     * Wait from which a long-running task is overdue, in milliseconds. Such a task has to run again
     * within 3 s once its VM is known to be lost. What the owner only guesses may delay it for a
     * part of that time only, as several of these delays can follow one another.
     */
    static final long OVERDUE_MILLIS = 1_000;

    final TaskName mName;
    final Step mStep;
    boolean mDone;

    /** Runs that count against the failure limit of the queue. */
    final FailedRuns mFailedRuns = new FailedRuns();

    /** Checkpoint from which the next run resumes; empty if there is none. */
    String mCheckpoint = "";

    /** Highest run number that this owner has ordered or seen. */
    long mLastRunNumber;

    /**
     * Monotonic time in milliseconds before which the task is not restarted, as backoff after a
     * failed run.
     */
    long mEarliestStartAt;

    /**
     * Progress in percent up to which the task's work counts as measured; -1 until the first
     * measurement if the task may have made progress under a former owner.
     */
    int mMeasuredPercent = -1;

    /**
     * True while an earlier owner may have started the task on a VM that has not reported to this
     * owner.
     */
    boolean mMayRunUnreported;

    /** Number of times that the task was stopped in order to run on another VM. */
    int mMoves;

    /** Current run of the task; null if there is none. */
    Run mRun;

    /**
     * Monotonic time in milliseconds since which the task waits if it has no run: the acceptance of
     * its job or the end of its last run. {@code Long.MIN_VALUE} if an earlier owner accepted the
     * job and the task has not run since; it then counts as having waited long.
     */
    long mWaitingSince = Long.MIN_VALUE;

    /** Agents of the VMs on which the task has failed or stalled; placement prefers other VMs. */
    final Set<DaemonId> mAvoidedVms = new HashSet<>(2);

    /** VMs that have refused the orders of the task since its last start. */
    final TaskRefusals mRefusals = new TaskRefusals();

    Task(TaskName name, Step step) {
        mName = name;
        mStep = step;
    }

    /** Marks a task without a run as done. */
    void markDone() {
        mDone = true;
        mStep.mDoneTasks++;
        mStep.mWaitingTasks--;
    }

    /** Returns whether one more failure of the task ends its job. */
    boolean onLastAttempt() {
        return !mStep.mSpec.traits().longRunning()
                && mFailedRuns.count() + 1 >= mStep.mJob.queue().maxAttempts();
    }

    /**
     * Returns the share of the task's work that its current run has not done yet; 1 without a run.
     */
    double remainingShare() {
        return mRun == null ? 1 : 1 - mRun.mProgressPercent / 100.0;
    }

    /** Returns whether the task is not done and has no run. */
    boolean waiting() {
        return !mDone && mRun == null;
    }

    /** Returns whether the task waits and runs on no VM, whether that has reported or not. */
    boolean knownToWait() {
        return waiting() && !mMayRunUnreported;
    }

    /**
     * Returns whether the task is known to wait and its backoff is over.
     *
     * @param now monotonic time in milliseconds
     */
    boolean mayStart(long now) {
        return knownToWait() && (now >= mEarliestStartAt || overdue(now));
    }

    /**
     * Returns whether a long-running task is known to wait and has waited so long that only what
     * the owner knows may keep it from a VM with room, and not what it guesses: backoffs, trials,
     * holds and claims. The wait is counted from the end of the last run or the acceptance of the
     * job; an order that starts nothing does not end it.
     *
     * @param now monotonic time in milliseconds
     */
    boolean overdue(long now) {
        return mStep.mSpec.traits().longRunning()
                && knownToWait()
                && mWaitingSince <= now - OVERDUE_MILLIS;
    }
}
