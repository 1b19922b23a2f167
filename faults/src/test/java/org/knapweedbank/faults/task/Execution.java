package org.knapweedbank.faults.task;

import org.knapweedbank.model.Resources;
import org.knapweedbank.model.TaskId;
import org.knapweedbank.worker.TaskState;

/** One run of an attempt at a worker, as the worker saw it. */
final class Execution {
    final TaskId mTask;
    final int mAttempt;
    final String mVm;
    final Resources mResources;
    final String mStartCheckpoint;
    final long mStartNanos;
    TaskState mState = TaskState.RUNNING;
    String mDetail = "";
    long mEndNanos = Long.MAX_VALUE;
    long mLeaseEndNanos;
    long mCheckpointNanos = Long.MAX_VALUE;
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

    boolean hasEnded() {
        return mState.ended();
    }

    @Override
    public String toString() {
        return mTask + "#" + mAttempt + " on " + mVm + " " + mState;
    }
}
