package org.knapweedbank.jobs.owner;

/** One run of a task on a VM, from its order to its end. */
final class Attempt {
    /** Time after the order of a run in which its worker has no complete figure for it. */
    private static final long FIGURE_DELAY_MILLIS = 600;

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

    /** Rank among the fillers of its VM that its agent knows of. */
    double mRank;

    /** When the worker last told how much processor time the run gets. */
    private long mFiguredAt;

    /** Processor time that the run asked for, for as long as its worker has had figures for it. */
    private double mAskedCoreMillis;

    /** Processor time that the run got of it, in core-milliseconds. */
    private double mUsedCoreMillis;

    /** Newest figure of the worker, in thousandths of a core. */
    private long mFigure;

    Attempt(Task task, Vm vm, long run, long now) {
        mTask = task;
        mVm = vm;
        mRun = run;
        mOrderedAt = now;
        mProgressAt = now;
        mFiguredAt = now;
    }

    /**
     * Takes the processor time that a batch run gets.
     *
     * @param figure thousandths of a core
     * @param now when it was reported
     * @return what the run has used since the report before, in core-milliseconds
     */
    double use(long figure, long now) {
        double used = figure * (now - mFiguredAt) / 1_000.0;
        if (now - mOrderedAt > FIGURE_DELAY_MILLIS) {
            mUsedCoreMillis += used;
            mAskedCoreMillis +=
                    mTask.mStep.mSpec.perTask().milliCpu() * (now - mFiguredAt) / 1_000.0;
        }
        mFiguredAt = now;
        mFigure = figure;
        return used;
    }

    /**
     * Time that the run would have taken at full pace, by the part of its demand that it got.
     *
     * @param now when it ended
     * @return milliseconds
     */
    double fullPaceMillis(long now) {
        double share = mAskedCoreMillis > 0 ? Math.min(1, mUsedCoreMillis / mAskedCoreMillis) : 1;
        return (now - mOrderedAt) * share;
    }

    /** Newest figure of the worker: thousandths of a core that the run gets. */
    long figure() {
        return mFigure;
    }
}
