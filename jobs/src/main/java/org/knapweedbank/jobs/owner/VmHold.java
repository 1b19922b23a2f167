package org.knapweedbank.jobs.owner;

import org.knapweedbank.jobs.reservation.Hold;
import org.knapweedbank.jobs.reservation.Reservation;
import org.knapweedbank.model.Resources;

/** Room that a VM keeps for a waiting task, from the plan until the next one. */
final class VmHold {
    /** Age from which a plan is not used any more, in milliseconds; it describes the past then. */
    static final long MAX_PLAN_AGE_MILLIS = 1_000;

    private final OwnerState mState;
    private final RunEndEstimator mEnds;
    private final long mPlannedAt;
    final Vm mVm;

    /** Task for which the room is kept; another one of its step after that has been started. */
    Task mTask;

    private Hold mHold;

    /** Monotonic time in milliseconds at which the reservation was last logged. */
    long mLoggedAt;

    VmHold(OwnerState state, RunEndEstimator ends, Task task, Vm vm, Hold hold) {
        mState = state;
        mEnds = ends;
        mPlannedAt = state.now();
        mTask = task;
        mVm = vm;
        mHold = hold;
        mLoggedAt = mPlannedAt;
    }

    /** Returns the reservation, in the name of the present task. */
    Reservation reservation() {
        Reservation planned = mHold.reservation();
        return new Reservation(
                mTask.mName,
                planned.vm(),
                planned.madeAt(),
                planned.firstExpectedStart(),
                planned.expectedStart());
    }

    boolean outdated() {
        return mState.now() - mPlannedAt > MAX_PLAN_AGE_MILLIS;
    }

    /**
     * Returns whether a task must not start on the VM. Only less urgent tasks are held back, only
     * while the task of the reservation waits, and no overdue ones: each hold has a limit, but a
     * sequence of them has none. The ranks are compared last, as they may have to be computed.
     */
    boolean excludes(Task task) {
        Job job = mTask.mStep.mJob;
        Job otherJob = task.mStep.mJob;
        return job != otherJob
                && mTask.waiting()
                && !job.finished()
                && !task.overdue(mState.now())
                && !admits(task)
                && mState.rank(mTask).compareTo(mState.rank(task)) < 0;
    }

    /** Returns whether a task leaves the reserved room, or ends before it is needed. */
    boolean admits(Task task) {
        return mHold.admits(task.mStep.mSpec.reservation(), () -> latestEnd(task));
    }

    /** Takes the start of a task on the VM into account that does not use this reservation. */
    void handleOtherStart(Task task) {
        Resources room = task.mStep.mSpec.reservation();
        mHold = mHold.afterStart(room, latestEnd(task));
    }

    private long latestEnd(Task task) {
        return mEnds.latestEndOfStart(task.mStep);
    }
}
