package org.knapweedbank.jobs.owner;

/** One run of a task on a VM, from its order to its end. */
final class Attempt {
    final Task mTask;
    final Vm mVm;
    final long mRun;
    final long mOrderedAt;
    boolean mConfirmed;
    boolean mStopping;
    int mPercent;
    String mCheckpoint = "";

    /** When the run last made progress; at first when it was ordered. */
    long mProgressAt;

    /** Reports in a row in which a filler got less processor time than half of its demand. */
    int mStarvedReports;

    Attempt(Task task, Vm vm, long run, long now) {
        mTask = task;
        mVm = vm;
        mRun = run;
        mOrderedAt = now;
        mProgressAt = now;
    }
}
