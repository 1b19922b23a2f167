package org.knapweedbank.faults.task;

import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.worker.TaskState;

/** One execution of an attempt of a task by a worker, as the worker saw it. */
final class Execution {
    final TaskId mTask;
    final int mAttempt;
    final String mVm;

    /** Resources that the start reserved. */
    final Resources mResources;

    /** Checkpoint that the attempt resumed from, or an empty string. */
    final String mStartCheckpoint;

    /** Virtual time of the start. */
    final long mStartNanos;

    TaskState mState = TaskState.RUNNING;

    /** Error text or checkpoint name that the state carries, or an empty string. */
    String mDetail = "";

    /** Virtual time of the end. */
    long mEndNanos = Long.MAX_VALUE;

    /** Time on the worker's clock at which the lease ends the execution. */
    long mLeaseEndNanos;

    /** Time on the worker's clock at which a requested checkpoint is complete. */
    long mCheckpointNanos = Long.MAX_VALUE;

    /** Not used. */
    boolean mForgotten;

    Execution(
            TaskId task,
            int attempt,
            String vm,
            Resources resources,
            String startCheckpoint,
            long startNanos) {
        mTask = task;
        mAttempt = attempt;
        mVm = vm;
        mResources = resources;
        mStartCheckpoint = startCheckpoint;
        mStartNanos = startNanos;
    }

    /** Returns whether the execution has reached a final state. */
    boolean hasEnded() {
        return mState.ended();
    }

    @Override
    public String toString() {
        return mTask + "#" + mAttempt + " on " + mVm + " " + mState;
    }
}
